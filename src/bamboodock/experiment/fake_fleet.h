#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "bamboodock/experiment/fake_entry.h"

namespace bamboodock::experiment {

/// Simulated entries and sidecars of one deployment under generated traffic.
class FakeFleet {
 public:
  FakeFleet(const Deployment& deployment, const FleetSettings& settings, std::uint64_t seed);

  EventLoop& loop() { return loop_; }
  const std::vector<std::unique_ptr<FakeSidecar>>& sidecars() const { return sidecars_; }

  /// Sends the traffic up to `end`. The outcomes of its requests are added to `result`, also during
  /// later runs and `Finish`, so `result` must outlive the last of them.
  void RunUntil(MonotonicTime end, FleetResult& result);
  /// Sets a check that is called for each request; a request for which it is false is refused.
  void SetAdmissionCheck(std::function<bool()> admission_check) {
    admission_check_ = std::move(admission_check);
  }
  /// Runs 300 s without new requests, so that the open ones end.
  void Finish();

  /// Publishes that an availability zone leaves; each entry learns of it with its next sync,
  /// within 2 s.
  void Drain(const AvailabilityZoneId& zone);
  /// Stops all sidecars of an availability zone; their running requests fail.
  void Kill(const AvailabilityZoneId& zone);
  /// Starts the sidecars of an availability zone cold and publishes its return.
  void Restore(const AvailabilityZoneId& zone);

  /// Share of prompt tokens that were found in the engines' prefix caches.
  Ratio CacheHitRatio() const;

 private:
  void SendLoadReports();
  void OnArrival(FleetResult& result, MonotonicTime end);
  /// Calls `notify` for each entry after the random time that a publication takes to reach it.
  void Publish(void (FakeEntry::*notify)(const AvailabilityZoneId&),
               const AvailabilityZoneId& zone);

  const Deployment& deployment_;
  FleetSettings settings_;
  EventLoop loop_;
  Random random_;
  std::vector<std::unique_ptr<FakeSidecar>> sidecars_;
  std::vector<std::unique_ptr<FakeEntry>> entries_;
  TraceGenerator trace_;
  TraceRequest next_;
  std::function<bool()> admission_check_ = [] { return true; };
};

}  // namespace bamboodock::experiment
