#pragma once

#include <memory>
#include <vector>

#include "bamboodock/experiment/fake_sidecar.h"
#include "bamboodock/experiment/fleet_result.h"
#include "bamboodock/experiment/fleet_settings.h"
#include "bamboodock/experiment/trace.h"
#include "bamboodock/policy/backoff.h"
#include "bamboodock/policy/retry_budget.h"
#include "bamboodock/policy/zone_ramp.h"

namespace bamboodock::experiment {

/// Simulated entry: chooses endpoints, retries and records outcomes on the event loop.
class FakeEntry {
 public:
  FakeEntry(EventLoop& loop, const Deployment& deployment, const FleetSettings& settings,
            std::vector<std::unique_ptr<FakeSidecar>>& sidecars, AvailabilityZoneId zone,
            std::uint64_t seed);

  /// Serves a request; `result` receives its outcome and must outlive it.
  void Serve(const TraceRequest& request, FleetResult& result);
  /// Stores a load report that the sidecar made at `taken_at`.
  void OnReport(std::size_t endpoint, const LoadReport& report, MonotonicTime taken_at);
  /// Stops choosing endpoints of the availability zone.
  void OnZoneLeft(const AvailabilityZoneId& zone);
  /// Begins the zone ramp of the availability zone.
  void OnZoneReturned(const AvailabilityZoneId& zone);

 private:
  struct Call;
  struct Attempt;
  using CallPtr = std::shared_ptr<Call>;
  using AttemptPtr = std::shared_ptr<Attempt>;

  void TryNextEndpoint(const CallPtr& call);
  void Send(const CallPtr& call, std::size_t endpoint);
  void OnRefused(const AttemptPtr& attempt);
  void OnFirstToken(const AttemptPtr& attempt);
  void OnEnd(const AttemptPtr& attempt, bool ok);
  void Retry(const CallPtr& call);
  /// Clears the tried endpoints and tries again after a back-off, or refuses the call.
  void WaitForCapacity(const CallPtr& call);
  static void Refuse(const CallPtr& call);
  /// Spends one retry if the retry mode allows it.
  bool TryAcquireRetry();
  std::vector<EndpointView> Views(const Call& call) const;
  /// One-way network delay to the endpoint.
  Duration HopDelay(std::size_t endpoint) const;
  ZoneRamp& Ramp(const AvailabilityZoneId& zone);

  EventLoop& loop_;
  const Deployment& deployment_;
  FleetSettings settings_;
  std::vector<std::unique_ptr<FakeSidecar>>& sidecars_;
  AvailabilityZoneId zone_;
  Random random_;
  std::unique_ptr<EndpointChooser> chooser_;
  RetryBudget budget_;
  Backoff backoff_;
  std::vector<EndpointView> views_;
  std::vector<MonotonicTime> report_times_;
  std::vector<ZoneRamp> ramps_;
};

}  // namespace bamboodock::experiment
