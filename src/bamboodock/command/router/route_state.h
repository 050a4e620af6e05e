#pragma once

#include <map>
#include <string>
#include <vector>

#include "bamboodock/command/router/endpoint_pool.h"
#include "bamboodock/command/router/peer_view.h"
#include "bamboodock/command/router/rollout_desk.h"
#include "bamboodock/command/router/route_commands.h"
#include "bamboodock/command/router/router_limits.h"
#include "bamboodock/command/router/session_pins.h"
#include "bamboodock/core/clock.h"
#include "bamboodock/observe/event_log.h"
#include "bamboodock/policy/model_ladder.h"
#include "bamboodock/policy/random.h"
#include "bamboodock/policy/repeat_budget.h"

namespace bamboodock {

/// Who this router is.
struct RouterIdentity {
  HostId host;
  IncarnationId incarnation;
  AvailabilityZoneId availability_zone;
};

/// Decisions of the router: which endpoint, which model, which version, or which refusal.
///
/// Holds all state that decisions depend on. Called by the route duty alone; time and random
/// numbers come from outside.
class RouteState {
 public:
  RouteState(RouterIdentity identity, const RouterLimits& limits, const Clock& clock, Random random,
             EventLog& log);

  PlanAnswer Plan(const PlanQuery& query);
  void Apply(const HeadReport& report);
  void Apply(const AttemptReport& report);
  void Apply(const OperatorDelta& delta);
  void Apply(const EndpointDelta& delta);
  void Apply(const RouterDelta& delta);
  void Apply(const PeerReport& report);

  /// Does periodic work; returns the rollout rows to be written.
  std::vector<RolloutProgress> Tick();
  PeerReport OwnReport() const;

  /// Whether requests can be routed: there is a configuration, it is fresh, endpoints and entries
  /// are listed.
  bool Ready() const;
  /// Until when the router is ready if nothing more is heard from the store.
  MonotonicTime ReadyUntil() const;
  /// What decisions rest on, for log lines.
  std::string Knowledge() const;
  Ref<const RouteTable> table() const { return table_; }
  Duration ConfigAge() const;
  /// Until when the other entries vouch for the configuration.
  MonotonicTime peers_cover() const { return peers_cover_; }
  std::uint32_t entries() const { return peers_.Entries(); }
  std::size_t endpoint_count() const { return pool_.size(); }

 private:
  struct VersionChoice {
    std::function<bool(const VersionId&)> allows;
    /// Whether another version may be taken when no endpoint of this one is usable.
    bool may_fall_back = false;
    /// Share of the usable endpoints that may be chosen.
    Ratio spread{1.0};
  };

  PlanAnswer Refuse(const PlanQuery& query, ResultCode code, std::string detail) const;
  PlanAnswer Begin(const PlanQuery& query, RequestProgress& progress) const;
  PlanAnswer ChooseAttempt(const PlanQuery& query, RequestProgress progress);
  VersionChoice ChooseVersion(const PlanQuery& query, const RequestProgress& progress);
  VersionChoice RolloutChoice(const PlanQuery& query, const RequestProgress& progress,
                              const RolloutOrder& order);
  VersionChoice BaselineChoice(const ServiceId& service);
  const RoutedService* PickService(const PlanQuery& query, const Route& route) const;
  bool IsBetterModelWorthIt(const PlanQuery& query, const RequestProgress& progress) const;
  Tokens Work(const CallerRequest& request, const RoutedService& service,
              const ModelId& model) const;
  RepeatBudget& Budget(const ServiceId& service);
  void Install(const Ref<const RouteTable>& table);
  void ApplyEvacuation(const OperatorRow& row);
  /// Takes over that another entry has seen no newer order than this one knows.
  void TakeCoverage(const OperatorTableState& orders);
  Duration ColdTime(const ServiceId& service) const;

  RouterIdentity identity_;
  RouterLimits limits_;
  const Clock& clock_;
  Random random_;
  EventLog& log_;

  Ref<const RouteTable> table_;
  MonotonicTime config_covered_{};
  MonotonicTime peers_cover_{};
  OperatorTableState orders_;
  std::optional<Duration> store_offset_;
  std::chrono::milliseconds store_now_{0};
  MonotonicTime store_read_{};
  bool endpoints_listed_ = false;
  bool routers_listed_ = false;
  EndpointPool pool_;
  RolloutDesk rollouts_;
  SessionPins sessions_;
  PeerView peers_;
  ModelLadder ladder_;
  std::map<ServiceId, RepeatBudget> budgets_;
  /// Version in force by service when no rollout says otherwise.
  std::map<ServiceId, VersionId> baseline_;
  /// When an unordered version was first seen, by service.
  std::map<ServiceId, MonotonicTime> unordered_since_;
};

}  // namespace bamboodock
