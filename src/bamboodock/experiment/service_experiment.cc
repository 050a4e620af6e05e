#include "bamboodock/experiment/service_experiment.h"

#include <array>

#include "bamboodock/config/config.h"
#include "bamboodock/experiment/fake_fleet.h"

namespace bamboodock::experiment {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 5;
/// Share of requests that must not run twice and therefore need a claim in the store.
constexpr double kNonIdempotentShare = 0.1;
/// Time until operators drain a zone that was lost without notice.
constexpr Duration kLossDetectionDelay = seconds(10);

/// Phase of a run with its own results: before the outage, during it, in the first 2 minutes after
/// the return, and later.
struct Phase {
  const char* name;
  MonotonicTime end;
};

constexpr std::size_t kPhaseCount = 4;
constexpr MonotonicTime kWarmUpEnd{minutes(3)};
constexpr std::array<Phase, kPhaseCount> kPhases = {{
    {"before", MonotonicTime{minutes(5)}},
    {"outage", MonotonicTime{minutes(10)}},
    {"first 2 min of return", MonotonicTime{minutes(12)}},
    {"after", MonotonicTime{minutes(15)}},
}};
constexpr MonotonicTime kOutageStart = kPhases[0].end;
constexpr MonotonicTime kOutageEnd = kPhases[1].end;

using PhaseResults = std::array<FleetResult, kPhaseCount>;

struct Scenario {
  const char* name;
  /// Time between the drain and the stop of the hosts; negative when the zone is lost without
  /// notice.
  Duration notice;
  RetryMode retry = RetryMode::kBudget;
  bool zone_ramp = true;
};

constexpr std::array kScenarios = {
    Scenario{"60 s notice", seconds(60)},
    Scenario{"60 s notice, no zone ramp", seconds(60), RetryMode::kBudget, false},
    Scenario{"60 s notice, unlimited retries", seconds(60), RetryMode::kUnlimited},
    Scenario{"60 s notice, no retries", seconds(60), RetryMode::kNone},
    Scenario{"30 s notice", seconds(30)},
    Scenario{"no notice", seconds(-1)},
    Scenario{"no notice, unlimited retries", seconds(-1), RetryMode::kUnlimited},
    Scenario{"no notice, no retries", seconds(-1), RetryMode::kNone},
};

void ScheduleOutage(FakeFleet& fleet, const Scenario& scenario, const AvailabilityZoneId& zone) {
  const bool drained = scenario.notice >= Duration::zero();
  fleet.loop().At(kOutageStart + (drained ? Duration::zero() : kLossDetectionDelay),
                  [&fleet, zone] { fleet.Drain(zone); });
  fleet.loop().At(kOutageStart + (drained ? scenario.notice : Duration::zero()),
                  [&fleet, zone] { fleet.Kill(zone); });
  fleet.loop().At(kOutageEnd, [&fleet, zone] { fleet.Restore(zone); });
}

void RunPhases(FakeFleet& fleet, PhaseResults& sum) {
  FleetResult warm_up;
  PhaseResults results;
  fleet.RunUntil(kWarmUpEnd, warm_up);
  for (std::size_t i = 0; i < kPhaseCount; ++i) fleet.RunUntil(kPhases.at(i).end, results.at(i));
  fleet.Finish();
  for (std::size_t i = 0; i < kPhaseCount; ++i) sum.at(i).Add(results.at(i));
}

PhaseResults RunScenario(const Deployment& deployment, const Scenario& scenario) {
  PhaseResults sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetSettings settings;
    settings.retry = scenario.retry;
    settings.zone_ramp = scenario.zone_ramp;
    FakeFleet fleet(deployment, settings, seed);
    ScheduleOutage(fleet, scenario, deployment.zones.front());
    RunPhases(fleet, sum);
  }
  return sum;
}

/// Runs the fleet while the store is down from `kOutageStart` to `kOutageEnd`. With `attested`,
/// witnesses keep the configuration fresh; otherwise it stays fresh for `config::kFreshnessLimit`.
PhaseResults RunStoreOutage(const Deployment& deployment, bool attested) {
  PhaseResults sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FakeFleet fleet(deployment, FleetSettings{}, seed);
    Random random(seed);
    fleet.SetAdmissionCheck([&] {
      const MonotonicTime now = fleet.loop().now();
      if (now < kOutageStart || now >= kOutageEnd) return true;
      if (random.Uniform() < kNonIdempotentShare) return false;
      return attested || now < kOutageStart + config::kFreshnessLimit;
    });
    RunPhases(fleet, sum);
  }
  return sum;
}

std::vector<std::string> Row(const std::string& deployment, const std::string& scenario,
                             const char* phase, const FleetResult& result) {
  const double requests = static_cast<double>(result.requests);
  const auto share = [&](std::uint64_t count) {
    return FormatPercent(static_cast<double>(count) / requests, 2);
  };
  return {deployment,
          scenario,
          phase,
          std::to_string(result.requests),
          share(result.answered),
          share(result.refused),
          share(result.late),
          std::to_string(result.lost),
          FormatFixed(static_cast<double>(result.attempts) / requests, 3),
          FormatFixed(result.first_token.Percentile(Ratio(0.95)), 2)};
}

void AddRows(Table& table, const Deployment& deployment, const std::string& scenario,
             const PhaseResults& results) {
  for (std::size_t i = 0; i < kPhaseCount; ++i) {
    table.Add(Row(deployment.name, scenario, kPhases.at(i).name, results.at(i)));
  }
}

std::vector<std::string> Columns() {
  return {"deployment",
          "scenario",
          "phase",
          "requests",
          "answered",
          "refused",
          "late",
          "accepted and lost",
          "attempts per request",
          "first token 95th (s)"};
}

void AddGoal(Report& report, const PhaseResults& results) {
  FleetResult all;
  for (const FleetResult& result : results) all.Add(result);
  report.Goal(
      "No accepted request lost when one availability zone of three leaves at 60% load.",
      std::to_string(all.lost) + " of " + std::to_string(all.requests) +
          " lost with 60 s notice; " +
          FormatPercent(static_cast<double>(all.refused) / static_cast<double>(all.requests), 2) +
          " refused as not run.",
      all.lost == 0);
}

}  // namespace

void RunServiceExperiment(Report& report) {
  report.Heading("Service while an availability zone leaves and returns");
  report.Text(
      "5 seeds a row, 60% load, the fakes of the previous section without other cold starts. One "
      "zone leaves at 5 minutes and returns cold at 10. With notice, operators drain it and the "
      "hosts end after the stated time; without notice its hosts end at once and operators drain "
      "it 10 s later. The retry budget is 10% of requests; unlimited retries end at the deadline "
      "of "
      "30 s. Late: first token after 2.4 s. Streams that were open when the zone ended count in "
      "the "
      "phase in which they began.");
  Table zones("service_zone", Columns());
  for (const Deployment& deployment : Deployments()) {
    for (const Scenario& scenario : kScenarios) {
      const PhaseResults results = RunScenario(deployment, scenario);
      if (deployment.zones.size() == 3 && &scenario == &kScenarios[0]) AddGoal(report, results);
      AddRows(zones, deployment, scenario.name, results);
    }
  }
  report.Add(zones);
  report.Heading("Service while the store is down");
  report.Text(
      "The store does not answer from 5 to 10 minutes; 10% of requests are non-idempotent calls. "
      "The gate is a fake of the rules on the design page: non-idempotent calls are refused as not "
      "run; the others run while the configuration counts as fresh, by attestation for the whole "
      "outage or by bounded staleness for 5 s. ");
  Table store("service_store", Columns());
  for (const Deployment& deployment : Deployments()) {
    AddRows(store, deployment, "attested by witnesses", RunStoreOutage(deployment, true));
    AddRows(store, deployment, "bounded staleness alone", RunStoreOutage(deployment, false));
  }
  report.Add(store);
}

}  // namespace bamboodock::experiment
