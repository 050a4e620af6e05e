#include <gflags/gflags.h>

#include <chrono>
#include <iostream>

#include "bamboodock/codec/object_set_codec.h"
#include "bamboodock/command/operator/operator_commands.h"
#include "bamboodock/command/operator/publication_id.h"
#include "bamboodock/config/settings.h"
#include "bamboodock/transport/entry_client.h"

DEFINE_string(entry, "", "Operator ports of entries, IP:PORT[,IP:PORT...]; tried in turn.");
DEFINE_bool(json, false, "Print the answer as JSON.");
DEFINE_string(
    publication, "",
    "Id of the publication; repeating it with the same id is harmless. Generated when empty.");
DEFINE_string(stage, "withdrawn", "Stage that withdraw sets: no_new_sessions or withdrawn.");
DEFINE_uint32(timeout_ms, 30000, "Timeout for the answer of one entry, 1 to 600000 ms.");

namespace bamboodock {
namespace {

bool IsValidTimeout(const char* /*flag*/, gflags::uint32 value) {
  constexpr gflags::uint32 kMaxTimeoutMs = 600000;
  return value >= 1 && value <= kMaxTimeoutMs;
}
DEFINE_validator(timeout_ms, &IsValidTimeout);

constexpr const char* kUsage =
    "COMMAND [flags]\n\n"
    "  publish FILE               Publish the object set in FILE.\n"
    "  drain AVAILABILITY_ZONE    Take an availability zone out of service.\n"
    "  restore AVAILABILITY_ZONE  Put the availability zone back into service.\n"
    "  withdraw MODEL@VERSION     Stop new sessions on a version, or all of its work.\n\n"
    "Exit codes: 0 accepted, 1 refused, 2 invalid usage or settings, 3 no entry reachable,\n"
    "4 another publication was accepted first, 5 outcome unknown.";

Result<ExitCode> RunCommand(const std::vector<std::string>& arguments) {
  CommandSettings settings;
  settings.json = FLAGS_json;
  settings.publication = PublicationId(FLAGS_publication);
  if (settings.publication.empty()) {
    BOOST_LEAF_ASSIGN(settings.publication, MakePublicationId());
  }
  BOOST_LEAF_ASSIGN(settings.withdraw_stage, ParseWithdrawStage(FLAGS_stage));
  BOOST_LEAF_AUTO(entries, ParseEntryList(FLAGS_entry));
  HttpEntryClient client{std::chrono::milliseconds(FLAGS_timeout_ms)};
  CommandSender sender(client, std::move(entries));
  return OperatorCommands(sender, settings, std::cout, std::cerr).Run(arguments);
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
        BOOST_LEAF_AUTO(exit_code, bamboodock::RunCommand(arguments));
        return static_cast<int>(exit_code);
      },
      [](const bamboodock::Failure& failure) {
        return bamboodock::ReportInvalidSetting(failure.detail);
      });
}
