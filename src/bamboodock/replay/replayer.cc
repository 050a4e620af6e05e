#include "bamboodock/replay/replayer.h"

#include <map>
#include <memory>
#include <utility>

#include "bamboodock/replay/rule_replay.h"

namespace bamboodock {

namespace {

using Factory = std::unique_ptr<RuleReplay> (*)(const TraceFields&, const std::string&);

const std::map<std::string, Factory>& Factories() {
  static const std::map<std::string, Factory> kFactories = {
      {"attempt", &MakeAttemptReplay},
      {"billing", &MakeBillingReplay},
      {"claim", &MakeClaimReplay},
      {"freshness", &MakeFreshnessReplay},
      {"lease", &MakeLeaseReplay},
      {"publication", &MakePublicationReplay},
      {"quarantine", &MakeQuarantineReplay},
      {"rate_limit", &MakeRateLimitReplay},
      {"returned_row", &MakeReturnedRowReplay},
      {"stream", &MakeStreamReplay},
      {"witness", &MakeWitnessReplay},
  };
  return kFactories;
}

/// Creates the rule instances on their first event and passes events on to them.
class Replayer {
 public:
  explicit Replayer(const Trace& trace) : trace_(trace) {}

  Result<std::string> Apply(const TraceLine& line) {
    if (line.name == "restart") {
      std::erase_if(rules_, [&](const auto& item) { return item.first.first == line.process; });
      return std::string("restarted");
    }
    const std::size_t dot = line.name.find('.');
    const bool qualified = dot != std::string::npos;
    const std::string rule = qualified ? line.name.substr(0, dot) : trace_.rule;
    const std::string event = qualified ? line.name.substr(dot + 1) : line.name;
    const auto factory = Factories().find(rule);
    if (factory == Factories().end()) return Raise(ResultCode::kBadMessage, "unknown rule " + rule);
    std::unique_ptr<RuleReplay>& instance = rules_[{line.process, rule}];
    if (!instance) instance = factory->second(trace_.settings, line.process);
    return instance->Apply(event, line);
  }

 private:
  const Trace& trace_;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<RuleReplay>> rules_;
};

}  // namespace

Result<ReplayReport> Replay(const Trace& trace) {
  Replayer replayer(trace);
  ReplayReport report;
  std::string outcome;
  for (const TraceLine& line : trace.lines) {
    if (line.is_expectation) {
      ++report.expectations;
      if (line.name != outcome) report.mismatches.push_back({line.number, line.name, outcome});
      continue;
    }
    ++report.events;
    auto applied =
        HandleFailure([&] { return replayer.Apply(line); },
                      [&](const Failure& failure) { return "error: " + failure.detail; });
    if (applied.starts_with("error: ")) {
      return Raise(ResultCode::kBadMessage, "line " + std::to_string(line.number) + ": " + applied);
    }
    outcome = std::move(applied);
  }
  return report;
}

}  // namespace bamboodock
