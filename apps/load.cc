#include <gflags/gflags.h>

#include <iostream>

#include "bamboodock/command/process/address_flags.h"
#include "bamboodock/config/settings.h"
#include "bamboodock/load/load_run.h"

DEFINE_string(target, "", "IP:PORT of an entry's caller port or of an engine");
DEFINE_string(name, "run", "name of the run in the table");
DEFINE_string(api_key, "", "API key of a client account");
DEFINE_string(model, "", "model to request");
DEFINE_uint32(streams, 32, "streams open at the same time");
DEFINE_uint32(rounds, 4, "streams that each client opens in turn");
DEFINE_uint32(tokens, 32, "tokens to generate per answer");
DEFINE_uint64(first_prompt, 0,
              "number of the first prompt; runs with disjoint numbers share no prompt");

namespace bamboodock {
namespace {

int RunLoadProgram() {
  return HandleFailure(
      []() -> Result<int> {
        load::StreamSettings settings;
        BOOST_LEAF_ASSIGN(settings.target, ParseAddressFlag("target", FLAGS_target));
        if (FLAGS_model.empty()) return Raise(ResultCode::kBadSetting, "--model is missing");
        settings.api_key = FLAGS_api_key;
        settings.model = FLAGS_model;
        settings.tokens = FLAGS_tokens;
        settings.first_prompt = FLAGS_first_prompt;
        const load::LoadRunReport report = load::RunLoad(settings, FLAGS_streams, FLAGS_rounds);
        std::cout << load::FormatTableRow(FLAGS_name, FLAGS_streams, report) << '\n';
        return report.complete() == report.samples.size() ? 0 : 1;
      },
      [](const Failure& failure) { return ReportInvalidSetting(failure.detail); });
}

}  // namespace
}  // namespace bamboodock

int main(int argc, char** argv) {
  const auto exit_code = bamboodock::ParseSettings(
      &argc, &argv, "Opens chat streams and prints their latencies as one table row.");
  return exit_code ? *exit_code : bamboodock::RunLoadProgram();
}
