#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "bamboodock/experiment/fake_entry.h"

namespace bamboodock::experiment {

/// Entries and sidecars of one deployment with generated traffic.
class FakeFleet {
 public:
  FakeFleet(const Deployment& deployment, const FleetSettings& settings, std::uint64_t seed);

  EventLoop& loop() { return loop_; }
  const std::vector<std::unique_ptr<FakeSidecar>>& sidecars() const { return sidecars_; }

  /// Sends the traffic up to `end`; its outcomes are added to `result`, which must outlive the
  /// fleet's last run.
  void RunUntil(MonotonicTime end, FleetResult& result);
  /// Sets a condition asked for each request; those that do not pass are refused.
  void SetAdmissionCheck(std::function<bool()> admission_check) {
    admission_check_ = std::move(admission_check);
  }
  /// Lets open requests end without new ones.
  void Finish();

  /// Announces that an availability zone leaves; entries learn it within the sync interval.
  void Drain(const AvailabilityZoneId& zone);
  /// Stops all sidecars of an availability zone.
  void Kill(const AvailabilityZoneId& zone);
  /// Starts the sidecars of an availability zone cold and announces its return.
  void Restore(const AvailabilityZoneId& zone);

  /// Share of prompt tokens that were found in the engines' prefix caches.
  Ratio CacheHitRatio() const;

 private:
  void SendLoadReports();
  void OnArrival(FleetResult& result, MonotonicTime end);
  /// Calls `tell` for each entry after the time that a publication needs to reach it.
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
