#include "bamboodock/experiment/rollout_experiment.h"

#include "bamboodock/experiment/rollout_run.h"
#include "bamboodock/experiment/samples.h"
#include "bamboodock/experiment/seeds.h"
#include "bamboodock/experiment/time.h"

namespace bamboodock::experiment {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

constexpr std::uint64_t kSeeds = 200;
/// Lies inside a window of the fixed threshold, 2 minutes after the window's start.
constexpr Duration kDegradesAfter = hours(4) + minutes(2);
constexpr double kBadAnswersGoal = 25;
constexpr double kFalseWithdrawalGoal = 0.01;

/// Settings of a roll-out, run under each guard rule.
struct Scenario {
  std::string name;
  RolloutSettings settings;
  bool never_degrades = false;
};

struct ScenarioResult {
  std::uint64_t withdrawals = 0;
  /// Withdrawn before the version turned bad.
  std::uint64_t false_withdrawals = 0;
  Samples bad_answers;
  Samples delay_seconds;
};

std::vector<RolloutStep> Steps() {
  return {{MonotonicTime{}, Ratio(0.05)},
          {MonotonicTime{minutes(30)}, Ratio(0.25)},
          {MonotonicTime{minutes(60)}, Ratio(0.5)},
          {MonotonicTime{minutes(90)}, Ratio(1.0)}};
}

RolloutSettings BaseSettings() {
  RolloutSettings settings;
  settings.steps = Steps();
  return settings;
}

RolloutSettings DegradingVersion(double rate) {
  RolloutSettings settings = BaseSettings();
  settings.rate = RequestRate(rate);
  settings.degraded_error_rate = Ratio(0.3);
  settings.degraded_from = MonotonicTime{kDegradesAfter};
  settings.end = MonotonicTime{kDegradesAfter + minutes(30)};
  return settings;
}

std::vector<Scenario> Scenarios() {
  std::vector<Scenario> scenarios;
  scenarios.push_back({"good all day (1% errors)", BaseSettings(), true});
  scenarios.push_back({"30% errors after 4 h, 4 requests/s", DegradingVersion(4), false});
  scenarios.push_back({"30% errors after 4 h, 20 requests/s", DegradingVersion(20), false});
  RolloutSettings many_sources = DegradingVersion(4);
  many_sources.sources = 400;
  many_sources.entries = 10;
  scenarios.push_back({"30% errors after 4 h, 4 requests/s over 400 sources", many_sources, false});
  RolloutSettings slow_sync = DegradingVersion(4);
  slow_sync.sync_interval = std::chrono::seconds(5);
  scenarios.push_back({"30% errors after 4 h, 4 requests/s, sync every 5 s", slow_sync, false});
  RolloutSettings from_start = DegradingVersion(4);
  from_start.degraded_from = MonotonicTime{};
  from_start.end = MonotonicTime{hours(2)};
  scenarios.push_back({"30% errors from the start, 4 requests/s", from_start, false});
  RolloutSettings small_regression = DegradingVersion(4);
  small_regression.degraded_error_rate = Ratio(0.05);
  small_regression.end = MonotonicTime{hours(6)};
  scenarios.push_back({"5% errors after 4 h, 4 requests/s", small_regression, false});
  RolloutSettings without_errors = DegradingVersion(4);
  without_errors.degraded_error_rate = Ratio(0.01);
  without_errors.degraded_bad_answer_rate = Ratio(0.3);
  without_errors.end = MonotonicTime{hours(6)};
  scenarios.push_back(
      {"30% bad answers without errors after 4 h, 4 requests/s", without_errors, false});
  return scenarios;
}

ScenarioResult RunScenario(RolloutSettings settings, GuardRule rule) {
  settings.rule = rule;
  ScenarioResult sum;
  const auto run = [&](std::uint64_t seed) { return RolloutRun(settings, seed).Run(); };
  for (const RolloutResult& result : RunSeeds(kSeeds, run)) {
    if (result.withdrawn_at) ++sum.withdrawals;
    if (result.withdrawn_at && *result.withdrawn_at < settings.degraded_from) {
      ++sum.false_withdrawals;
      continue;
    }
    sum.bad_answers.Add(static_cast<double>(result.bad_answers));
    if (result.withdrawn_at) {
      sum.delay_seconds.Add(ToSeconds(*result.withdrawn_at - settings.degraded_from));
    }
  }
  return sum;
}

std::vector<std::string> Row(const Scenario& scenario, const char* rule,
                             const ScenarioResult& result) {
  std::vector<std::string> row = {scenario.name, rule, std::to_string(result.withdrawals),
                                  std::to_string(result.false_withdrawals)};
  if (scenario.never_degrades) {
    row.insert(row.end(), {"-", "-", "-", "-"});
    return row;
  }
  row.push_back(FormatFixed(result.bad_answers.Mean(), 1));
  row.push_back(FormatFixed(result.bad_answers.Percentile(Ratio(0.95)), 0));
  row.push_back(FormatFixed(result.bad_answers.Percentile(Ratio(1.0)), 0));
  row.push_back(FormatFixed(result.delay_seconds.Mean(), 0));
  return row;
}

void AddGoals(Report& report, const ScenarioResult& good, const ScenarioResult& bad) {
  const double false_withdrawal_share =
      static_cast<double>(good.false_withdrawals) / static_cast<double>(kSeeds);
  report.Goal("At most 1 false withdrawal in 100 roll-outs.",
              std::to_string(good.false_withdrawals) + " in " + std::to_string(kSeeds) + ".",
              false_withdrawal_share <= kFalseWithdrawalGoal);
  const double mean = bad.bad_answers.Mean();
  const double maximum = bad.bad_answers.Percentile(Ratio(1.0));
  report.Goal("Fewer than 25 bad answers from a version whose error rate rises to 30%.",
              "mean " + FormatFixed(mean, 1) + ", 95th percentile " +
                  FormatFixed(bad.bad_answers.Percentile(Ratio(0.95)), 0) + ", most " +
                  FormatFixed(maximum, 0) + " of all seeds at 4 requests/s.",
              maximum < kBadAnswersGoal);
}

}  // namespace

void RunRolloutExperiment(Report& report) {
  report.Heading("Roll-out guard");
  report.Text(
      "200 seeds a row. The roll-out takes 5%, 25%, 50% and 100% of the model's requests, 30 "
      "minutes "
      "each; answers take 3 s on average; 12 sources report every second to 3 entries unless the "
      "row says otherwise; the first entry whose test calls for it stops and its withdrawal "
      "reaches "
      "the others within 3 s. 1% of answers are errors and 5% are bad without an error while the "
      "version is good; 5% of answers are rated, 30 minutes late. Bad answers include those open "
      "at "
      "the withdrawal. The fixed threshold withdraws when more than 5% of the answers in a window "
      "of 5 minutes, of at least 200, are errors; the versions turn bad 2 minutes into a window.");
  Table table("rollout",
              {"version", "rule", "withdrawn of " + std::to_string(kSeeds), "of these while good",
               "bad answers (mean)", "95th percentile", "most", "seconds to withdrawal (mean)"});
  std::vector<ScenarioResult> sequential;
  for (const Scenario& scenario : Scenarios()) {
    sequential.push_back(RunScenario(scenario.settings, GuardRule::kSequential));
    table.Add(Row(scenario, "sequential test", sequential.back()));
    table.Add(Row(scenario, "fixed threshold",
                  RunScenario(scenario.settings, GuardRule::kFixedThreshold)));
  }
  AddGoals(report, sequential[0], sequential[1]);
  report.Add(table);
}

}  // namespace bamboodock::experiment
