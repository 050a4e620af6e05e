#include "bamboodock/experiment/latency_experiment.h"

#include <optional>

#include "bamboodock/experiment/fake_fleet.h"
#include "bamboodock/experiment/seeds.h"

namespace bamboodock::experiment {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 10;
constexpr MonotonicTime kWarmUpEnd{minutes(3)};
constexpr MonotonicTime kEnd{minutes(18)};
constexpr Duration kColdInterval = minutes(2);
constexpr Ratio kP95{0.95};

struct ChooserResult {
  FleetResult fleet;
  Samples cache_hit_ratios;
};

/// Schedules that one random endpoint turns cold at each `kColdInterval`.
void ScheduleColdStarts(FakeFleet& fleet, Random& random) {
  for (MonotonicTime time = kWarmUpEnd; time < kEnd; time += kColdInterval) {
    const std::size_t endpoint = random.Below(fleet.sidecars().size());
    fleet.loop().At(time, [&fleet, endpoint] { fleet.sidecars()[endpoint]->TurnCold(); });
  }
}

ChooserResult RunSeed(const Deployment& deployment, const FleetSettings& settings,
                      std::uint64_t seed) {
  ChooserResult result;
  FleetResult warm_up;
  FakeFleet fleet(deployment, settings, seed);
  Random random(seed);
  ScheduleColdStarts(fleet, random);
  fleet.RunUntil(kWarmUpEnd, warm_up);
  fleet.RunUntil(kEnd, result.fleet);
  fleet.Finish();
  result.cache_hit_ratios.Add(fleet.CacheHitRatio().value());
  return result;
}

ChooserResult RunChooser(const Deployment& deployment, EndpointStrategy strategy, Ratio load) {
  FleetSettings settings;
  settings.strategy = strategy;
  settings.load = load;
  ChooserResult sum;
  const auto run = [&](std::uint64_t seed) { return RunSeed(deployment, settings, seed); };
  for (const ChooserResult& result : RunSeeds(kSeeds, run)) {
    sum.fleet.Add(result.fleet);
    sum.cache_hit_ratios.Add(result.cache_hit_ratios);
  }
  return sum;
}

std::vector<std::string> Row(const Deployment& deployment, Ratio load, EndpointStrategy strategy,
                             const ChooserResult& result) {
  std::vector<std::string> row = {deployment.name, FormatPercent(load.value(), 0),
                                  std::string(Name(strategy))};
  for (const Samples* samples : {&result.fleet.first_token, &result.fleet.total_time}) {
    for (const double rank : {0.5, 0.95, 0.99}) {
      row.push_back(FormatFixed(samples->Percentile(Ratio(rank)), 2));
    }
  }
  const double requests = static_cast<double>(result.fleet.requests);
  row.push_back(FormatPercent(result.cache_hit_ratios.Mean()));
  row.push_back(FormatPercent(static_cast<double>(result.fleet.refused) / requests, 2));
  return row;
}

/// Whether the strategy is one that the default is compared with.
bool IsBaseline(EndpointStrategy strategy) {
  return strategy == EndpointStrategy::kRandom || strategy == EndpointStrategy::kRoundRobin ||
         strategy == EndpointStrategy::kLeastReportedLoad;
}

}  // namespace

void RunLatencyExperiment(Report& report) {
  report.Heading("Time to the first token per endpoint chooser");
  report.Text(
      "10 seeds of 15 minutes each, after 3 minutes of warm-up. One endpoint turns cold every 2 "
      "minutes without notice. Load reports are taken each second and arrive 0.25 s later. "
      "Engines: "
      "prefill of one request after the other (50 us a token), decoding in batches of 32 (15 ms a "
      "token, 0.5 ms more for each other request, fixed when decoding begins), a prefix cache of "
      "60,000 tokens, and while cold 4 times slower and at most 2 requests. Load is the share of "
      "what the engines can do without cached prefixes. Refused requests have no first token and "
      "count in the last column only.");
  Table table("latency",
              {"deployment", "load", "chooser", "first token 50th (s)", "95th (s)", "99th (s)",
               "in all 50th (s)", "95th (s)", "99th (s)", "prompt tokens cached", "refused"});
  for (const Deployment& deployment : Deployments()) {
    for (const double load : {0.5, 0.7, 0.85}) {
      std::optional<double> best_baseline;
      double default_p95 = 0;
      for (const EndpointStrategy strategy : kEndpointStrategies) {
        const ChooserResult result = RunChooser(deployment, strategy, Ratio(load));
        const double p95 = result.fleet.first_token.Percentile(kP95);
        if (IsBaseline(strategy) && (!best_baseline || p95 < *best_baseline)) best_baseline = p95;
        if (strategy == kDefaultEndpointStrategy) default_p95 = p95;
        table.Add(Row(deployment, Ratio(load), strategy, result));
      }
      report.Goal(
          deployment.name + " at " + FormatPercent(load, 0) +
              " load: 95th percentile to the first token below the best baseline's.",
          FormatFixed(default_p95, 2) + " s against " + FormatFixed(*best_baseline, 2) + " s.",
          default_p95 < *best_baseline);
    }
  }
  report.Add(table);
}

}  // namespace bamboodock::experiment
