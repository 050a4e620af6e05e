#pragma once

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "bamboodock/command/config/config_duty.h"
#include "bamboodock/command/entry/route_messages.h"
#include "bamboodock/core/duty.h"
#include "bamboodock/core/snapshot_cell.h"
#include "bamboodock/observe/latency_summary.h"
#include "bamboodock/observe/timeline.h"
#include "bamboodock/policy/account_limiter.h"
#include "bamboodock/policy/endpoint_chooser.h"
#include "bamboodock/policy/permission.h"
#include "bamboodock/policy/quality_table.h"
#include "bamboodock/policy/random.h"
#include "bamboodock/policy/retry_budget.h"
#include "bamboodock/policy/rollout_guard.h"
#include "bamboodock/policy/version_chooser.h"
#include "bamboodock/policy/version_evidence.h"
#include "bamboodock/policy/zone_ramp.h"

namespace bamboodock {

/// Last report of an endpoint, with the load that the entry itself placed on it.
struct EndpointReport {
  EndpointId endpoint;
  AvailabilityZoneId availability_zone;
  SyncRequest report;
  Concurrency in_flight;
  Duration age{};
  bool has_report = false;
};

/// Immutable snapshot of the routing state for queries.
class RouteSnapshot : public RefCounted<RouteSnapshot> {
 public:
  std::vector<EndpointReport> endpoints;
  std::uint64_t requests = 0;
  std::uint64_t failed = 0;
  std::uint64_t retries = 0;
  std::uint64_t open_requests = 0;
  CostMicros cost;
  LatencySummary first_byte;
  LatencySummary total;
};

/// Notified, on the thread of the routing duty, when the evidence calls for the withdrawal of a
/// version.
class VersionStopListener {
 public:
  virtual ~VersionStopListener() = default;
  virtual void OnVersionStopped(const ModelId& model, const VersionId& version) = 0;
};

/// Owns the endpoint load, account limits, retry budget, quality estimates and roll-out evidence.
class RouteDuty : public Duty<RouteDuty, RouteCommand> {
 public:
  struct Parts {
    AvailabilityZoneId local_zone;
    ConfigDuty& config;
    TimelineDuty& timeline;
    VersionStopListener& stop_listener;
    std::uint64_t seed;
  };

  explicit RouteDuty(const Parts& parts);
  ~RouteDuty() { Stop(); }

  Ref<const RouteSnapshot> snapshot() const { return snapshot_.Load(); }
  /// Blocks until the snapshot satisfies `predicate`; false when `deadline` passes first.
  template <class Predicate>
  bool WaitUntil(MonotonicTime deadline, Predicate predicate) const {
    return snapshot_.WaitUntil(deadline, predicate);
  }

  void Handle(RouteCommand& command);
  MonotonicTime Tick();

 private:
  struct EndpointState {
    Concurrency in_flight;
    /// Attempts sent since the last report, which are not yet included in it.
    Concurrency sent_since_report;
    SyncRequest report;
    MonotonicTime received;
    bool has_report = false;
  };
  struct VersionState {
    VersionEvidence evidence;
    RolloutGuard guard;
    bool stopped = false;
    /// Smoothed duration of a complete answer.
    Duration latency = std::chrono::seconds(1);
  };
  using VersionKey = std::pair<ModelId, VersionId>;

  void Apply(AdmitCommand& command);
  void Apply(PlanCommand& command);
  void Apply(AttemptEndedCommand& command);
  void Apply(AnswerCheckedCommand& command);
  void Apply(RequestEndedCommand& command);
  void Apply(SyncReportCommand& command);

  PlanReply MakePlan(const PlanCommand& command);
  /// Candidate steps of the request: one for a model, several for a cascade.
  Result<std::vector<CascadeStep>> CandidateSteps(const ConfigSnapshot& config,
                                                  const RoutingCriteria& criteria);
  Result<CascadeStep> PickVersionByShare(const ConfigSnapshot& config,
                                         const RoutingCriteria& criteria, const Model& model);
  /// Endpoints of the set that have a recent report, may run the request and are not excluded.
  std::vector<const Endpoint*> EligibleEndpoints(const ConfigSnapshot& config,
                                                 const PermissionQuery& permission,
                                                 const std::set<EndpointId>& excluded) const;
  /// Chooses the step to run and sets `may_escalate` and `accept_confidence` of `plan` for a
  /// cascade; empty when no step can run.
  std::optional<CascadeStep> ChooseStep(const ConfigSnapshot& config, const PlanCommand& command,
                                        const std::vector<CascadeStep>& steps, Plan& plan);
  const Endpoint* ChooseEndpoint(const std::vector<const Endpoint*>& eligible,
                                 const RoutingCriteria& criteria);
  EndpointView MakeView(const Endpoint& endpoint) const;
  /// Reason why the set in force or a prepared set forbids the request; empty when all permit it.
  std::optional<Failure> PermissionFailure(const ConfigSnapshot& config,
                                           const PermissionQuery& query, bool with_endpoint) const;
  OverloadLevel CurrentOverload(const ConfigSnapshot& config) const;
  void EvaluateEvidence(const VersionKey& key, VersionState& state);
  void UpdateZoneRamps(const ConfigSnapshot& config);
  void PublishSnapshot();

  Parts parts_;
  Random random_;
  AccountLimiter limiter_;
  RetryBudget retry_budget_;
  QualityTable quality_;
  std::unique_ptr<EndpointChooser> endpoint_chooser_;
  std::unique_ptr<VersionChooser> version_chooser_;
  std::unordered_map<EndpointId, EndpointState> endpoints_;
  std::map<VersionKey, VersionState> versions_;
  std::map<AvailabilityZoneId, ZoneRamp> zones_;
  Epoch zones_epoch_;
  RouteSnapshot totals_;
  SnapshotCell<RouteSnapshot> snapshot_;
};

}  // namespace bamboodock
