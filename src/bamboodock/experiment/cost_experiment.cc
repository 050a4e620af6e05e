#include "bamboodock/experiment/cost_experiment.h"

#include "bamboodock/experiment/cost_run.h"
#include "bamboodock/experiment/seeds.h"

namespace bamboodock::experiment {
namespace {

constexpr std::uint64_t kSeeds = 20;
constexpr double kCostGoal = 0.5;

CostResult RunAll(const Deployment& deployment, const CostSettings& settings) {
  CostResult sum;
  const auto run = [&](std::uint64_t seed) { return CostRun(deployment, settings, seed).Run(); };
  for (const CostResult& result : RunSeeds(kSeeds, run)) sum.Add(result);
  return sum;
}

CostSettings MakeCostSettings(std::string name, VersionStrategy strategy, double confidence = 0.8) {
  CostSettings settings;
  settings.name = std::move(name);
  settings.strategy = strategy;
  settings.accept_confidence = Ratio(confidence);
  return settings;
}

std::vector<CostSettings> Policies() {
  return {
      MakeCostSettings("always best", VersionStrategy::kAlwaysBest),
      MakeCostSettings("always cheapest", VersionStrategy::kAlwaysCheapest),
      MakeCostSettings("fixed threshold 0.7", VersionStrategy::kFixedThreshold, 0.7),
      MakeCostSettings("fixed threshold 0.8", VersionStrategy::kFixedThreshold, 0.8),
      MakeCostSettings("fixed threshold 0.9", VersionStrategy::kFixedThreshold, 0.9),
      MakeCostSettings("cascade", VersionStrategy::kCascade),
  };
}

/// Variations of the cascade's conditions, most of them less favourable than those of the policy
/// table.
std::vector<CostSettings> Conditions() {
  std::vector<CostSettings> all(7, MakeCostSettings("", VersionStrategy::kCascade));
  all[0].name = "harder requests (+0.1)";
  all[0].added_difficulty = 0.1;
  all[1].name = "stated qualities off by 0.1";
  all[1].prior_error = 0.1;
  all[2].name = "token probabilities almost random";
  all[2].confidence_noise = 0.3;
  all[3].name = "1% of answers rated";
  all[3].rated_share = 0.01;
  all[4].name = "no ratings at all";
  all[4].rated_share = 0;
  all[5].name = "5% wrong ratings, none assumed";
  all[5].assumed_wrong_rating_share = 0;
  all[6].name = "no wrong ratings, 5% assumed";
  all[6].wrong_rating_share = 0;
  return all;
}

std::vector<std::string> Row(const Deployment& deployment, const std::string& name,
                             const CostResult& result, const CostResult& best) {
  const double requests = static_cast<double>(result.requests);
  return {deployment.name,
          name,
          FormatFixed(result.cost / requests, 0),
          FormatPercent(result.cost / best.cost),
          FormatPercent(result.Quality(), 2),
          FormatPercent(result.LowestQualityByKind(), 2),
          FormatFixed(static_cast<double>(result.steps) / requests, 2),
          FormatFixed(result.latency.Percentile(Ratio(0.95)), 1)};
}

std::vector<std::string> Columns(const char* variant) {
  return {"deployment",
          variant,
          "cost per request (micros)",
          "of always best",
          "quality",
          "quality of the worst kind",
          "calls per request",
          "95th percentile of the service time (s)"};
}

void AddGoal(Report& report, const Deployment& deployment, const CostResult& cascade,
             const CostResult& best) {
  const double target = deployment.quality_target.value();
  const double share = cascade.cost / best.cost;
  report.Goal(deployment.name + ": quality target " + FormatPercent(target, 0) +
                  " met at no more than half of the cost of always best.",
              "quality " + FormatPercent(cascade.Quality(), 2) + " (worst kind " +
                  FormatPercent(cascade.LowestQualityByKind(), 2) + ") at " + FormatPercent(share) +
                  " of the cost.",
              cascade.Quality() >= target && share <= kCostGoal);
}

}  // namespace

void RunCostExperiment(Report& report) {
  report.Heading("Cost against quality");
  report.Text(
      "20 seeds of 50,000 requests each. An answer is good with a probability that falls with the "
      "difficulty of the request beyond the skill of the version; the mean token probability "
      "follows that probability with noise (standard deviation 0.06); 5% of delivered answers are "
      "rated, 30 minutes late on average, 5% of them wrongly, which the estimates allow for; the "
      "qualities stated in the object "
      "set are off by 0.05 (standard deviation). Prices of the three versions are 1 : 5 : 30. "
      "Skills and prices are assumptions, so the figures compare policies and predict no bill.");
  Table policies("cost_policies", Columns("policy"));
  Table conditions("cost_conditions", Columns("condition of the cascade"));
  for (const Deployment& deployment : Deployments()) {
    CostResult best;
    CostResult cascade;
    for (const CostSettings& settings : Policies()) {
      const CostResult result = RunAll(deployment, settings);
      if (settings.strategy == VersionStrategy::kAlwaysBest) best = result;
      if (settings.strategy == VersionStrategy::kCascade) cascade = result;
      policies.Add(Row(deployment, settings.name, result, best));
    }
    for (const CostSettings& settings : Conditions()) {
      conditions.Add(Row(deployment, settings.name, RunAll(deployment, settings), best));
    }
    AddGoal(report, deployment, cascade, best);
  }
  report.Add(policies);
  report.Text(
      "The cascade under less favourable conditions, against always best under normal ones:");
  report.Add(conditions);
}

}  // namespace bamboodock::experiment
