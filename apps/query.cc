#include <gflags/gflags.h>

#include <chrono>
#include <iostream>

#include "bamboodock/config/settings.h"
#include "bamboodock/query/operator/operator_queries.h"
#include "bamboodock/transport/entry_client.h"

DEFINE_string(entry, "", "Operator ports of entries, IP:PORT[,IP:PORT...]; tried in turn.");
DEFINE_bool(json, false, "Print the answer as JSON.");
DEFINE_string(request, "",
              "Id of the request whose events timeline shows; all requests when empty.");
DEFINE_uint32(timeout_ms, 10000, "Timeout for the answer of one entry, 1 to 600000 ms.");

namespace bamboodock {
namespace {

bool IsValidTimeout(const char* /*flag*/, gflags::uint32 value) {
  constexpr gflags::uint32 kMaxTimeoutMs = 600000;
  return value >= 1 && value <= kMaxTimeoutMs;
}
DEFINE_validator(timeout_ms, &IsValidTimeout);

constexpr const char* kUsage =
    "QUERY [flags]\n\n"
    "  check FILE    Check the object set in FILE; needs no entry.\n"
    "  diff FILE     Compare the object set in force with the one in FILE.\n"
    "  status        Epoch, freshness, endpoints and accounts as the entry sees them.\n"
    "  show KIND ID  One object of the set in force: account, model, version (MODEL@VERSION),\n"
    "                cascade, availability_zone or endpoint.\n"
    "  timeline      Events of all processes in order of time.\n\n"
    "Exit codes: 0 answered, 1 refused or not found, or the set has errors, 2 invalid usage or\n"
    "settings, 3 no entry reachable.";

Result<ExitCode> RunQuery(const std::vector<std::string>& arguments) {
  std::vector<Address> entries;
  // `check` needs no entry, so the list may be empty; one that is given must be well formed.
  if (!FLAGS_entry.empty()) {
    BOOST_LEAF_ASSIGN(entries, ParseEntryList(FLAGS_entry));
  }
  HttpEntryClient client{std::chrono::milliseconds(FLAGS_timeout_ms)};
  QuerySender sender(client, std::move(entries));
  const QuerySettings settings{RequestId(FLAGS_request), FLAGS_json};
  return OperatorQueries(sender, settings, std::cout, std::cerr).Run(arguments);
}

}  // namespace
}  // namespace bamboodock

int main(int argc, char** argv) {
  if (const auto exit_code = bamboodock::ParseSettings(&argc, &argv, bamboodock::kUsage)) {
    return *exit_code;
  }
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return bamboodock::HandleFailure(
      [&]() -> bamboodock::Result<int> {
        BOOST_LEAF_AUTO(exit_code, bamboodock::RunQuery(arguments));
        return static_cast<int>(exit_code);
      },
      [](const bamboodock::Failure& failure) {
        return bamboodock::ReportInvalidSetting(failure.detail);
      });
}
