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
/// Within a window of the fixed threshold, not at its start.
constexpr Duration kTurnsBadAfter = hours(4) + minutes(2);
constexpr double kBadAnswersGoal = 25;
constexpr double kFalseGoal = 0.01;

/// A case with the rule left open.
struct Case {
  std::string name;
  RolloutSettings settings;
  bool good = false;
};

struct CaseResult {
  std::uint64_t withdrawn = 0;
  /// Withdrawn before the version turned bad.
  std::uint64_t early = 0;
  Samples bad_answers;
  Samples delay_seconds;
};

std::vector<RolloutStep> Steps() {
  return {{MonotonicTime{}, Ratio(0.05)},
          {MonotonicTime{minutes(30)}, Ratio(0.25)},
          {MonotonicTime{minutes(60)}, Ratio(0.5)},
          {MonotonicTime{minutes(90)}, Ratio(1.0)}};
}

RolloutSettings Base() {
  RolloutSettings settings;
  settings.steps = Steps();
  return settings;
}

RolloutSettings TurnsBad(double rate) {
  RolloutSettings settings = Base();
  settings.rate = RequestRate(rate);
  settings.bad_errors = Ratio(0.3);
  settings.bad_from = MonotonicTime{kTurnsBadAfter};
  settings.end = MonotonicTime{kTurnsBadAfter + minutes(30)};
  return settings;
}

std::vector<Case> Cases() {
  std::vector<Case> cases;
  cases.push_back({"good all day (1% errors)", Base(), true});
  cases.push_back({"30% errors after 4 h, 4 requests/s", TurnsBad(4), false});
  cases.push_back({"30% errors after 4 h, 20 requests/s", TurnsBad(20), false});
  RolloutSettings spread = TurnsBad(4);
  spread.sources = 400;
  spread.entries = 10;
  cases.push_back({"30% errors after 4 h, 4 requests/s over 400 sources", spread, false});
  RolloutSettings slow_sync = TurnsBad(4);
  slow_sync.sync_interval = std::chrono::seconds(5);
  cases.push_back({"30% errors after 4 h, 4 requests/s, sync every 5 s", slow_sync, false});
  RolloutSettings from_start = TurnsBad(4);
  from_start.bad_from = MonotonicTime{};
  from_start.end = MonotonicTime{hours(2)};
  cases.push_back({"30% errors from the start, 4 requests/s", from_start, false});
  RolloutSettings mild = TurnsBad(4);
  mild.bad_errors = Ratio(0.05);
  mild.end = MonotonicTime{hours(6)};
  cases.push_back({"5% errors after 4 h, 4 requests/s", mild, false});
  RolloutSettings silent = TurnsBad(4);
  silent.bad_errors = Ratio(0.01);
  silent.bad_bad_answers = Ratio(0.3);
  silent.end = MonotonicTime{hours(6)};
  cases.push_back({"30% bad answers without errors after 4 h, 4 requests/s", silent, false});
  return cases;
}

CaseResult RunCase(RolloutSettings settings, GuardRule rule) {
  settings.rule = rule;
  CaseResult sum;
  const auto run = [&](std::uint64_t seed) { return RolloutRun(settings, seed).Run(); };
  for (const RolloutResult& result : RunSeeds(kSeeds, run)) {
    if (result.withdrawn) ++sum.withdrawn;
    if (result.withdrawn && *result.withdrawn < settings.bad_from) {
      ++sum.early;
      continue;
    }
    sum.bad_answers.Add(static_cast<double>(result.bad_answers));
    if (result.withdrawn) {
      sum.delay_seconds.Add(ToSeconds(*result.withdrawn - settings.bad_from));
    }
  }
  return sum;
}

std::vector<std::string> Row(const Case& one, const char* rule, const CaseResult& result) {
  std::vector<std::string> row = {one.name, rule, std::to_string(result.withdrawn),
                                  std::to_string(result.early)};
  if (one.good) {
    row.insert(row.end(), {"-", "-", "-", "-"});
    return row;
  }
  row.push_back(Fixed(result.bad_answers.Mean(), 1));
  row.push_back(Fixed(result.bad_answers.Percentile(Ratio(0.95)), 0));
  row.push_back(Fixed(result.bad_answers.Percentile(Ratio(1.0)), 0));
  row.push_back(Fixed(result.delay_seconds.Mean(), 0));
  return row;
}

void AddGoals(Report& report, const CaseResult& good, const CaseResult& bad) {
  const double false_share = static_cast<double>(good.early) / static_cast<double>(kSeeds);
  report.Goal("At most 1 false withdrawal in 100 roll-outs.",
              std::to_string(good.early) + " in " + std::to_string(kSeeds) + ".",
              false_share <= kFalseGoal);
  const double mean = bad.bad_answers.Mean();
  const double most = bad.bad_answers.Percentile(Ratio(1.0));
  report.Goal("Fewer than 25 bad answers from a version whose error rate rises to 30%.",
              "mean " + Fixed(mean, 1) + ", 95th percentile " +
                  Fixed(bad.bad_answers.Percentile(Ratio(0.95)), 0) + ", most " + Fixed(most, 0) +
                  " of all seeds at 4 requests/s.",
              most < kBadAnswersGoal);
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
  std::vector<CaseResult> sequential;
  for (const Case& one : Cases()) {
    sequential.push_back(RunCase(one.settings, GuardRule::kSequential));
    table.Add(Row(one, "sequential test", sequential.back()));
    table.Add(Row(one, "fixed threshold", RunCase(one.settings, GuardRule::kFixedThreshold)));
  }
  AddGoals(report, sequential[0], sequential[1]);
  report.Add(table);
}

}  // namespace bamboodock::experiment
