#pragma once

#include <map>
#include <string>
#include <vector>

#include "bamboodock/command/router/endpoint_pool.h"
#include "bamboodock/command/router/peer_view.h"
#include "bamboodock/command/router/prompt_guard.h"
#include "bamboodock/command/router/rollout_controller.h"
#include "bamboodock/command/router/route_commands.h"
#include "bamboodock/command/router/router_limits.h"
#include "bamboodock/command/router/version_selector.h"
#include "bamboodock/core/clock.h"
#include "bamboodock/observe/event_log.h"
#include "bamboodock/policy/model_acceptances.h"
#include "bamboodock/policy/model_choice.h"
#include "bamboodock/policy/random.h"
#include "bamboodock/policy/repeat_budget.h"
#include "bamboodock/policy/stream_pace.h"

namespace bamboodock {

/// Identity of this router.
struct RouterIdentity {
  HostId host;
  IncarnationId incarnation;
  AvailabilityZoneId availability_zone;
};

/// Decides which endpoint, model and version serve a request, or why it is refused.
///
/// Holds all state that decisions depend on. Used on the planning duty's thread only; the clock and
/// the random generator are passed in.
class RouteState {
 public:
  RouteState(RouterIdentity identity, const RouterLimits& limits, const Clock& clock, Random random,
             EventLog& log);

  /// Plans the next attempt of a request, or states why there is none.
  PlanAnswer Plan(const PlanQuery& query);
  void Apply(const HeadReport& report);
  void Apply(const UnderWayReport& report);
  void Apply(const AttemptReport& report);
  void Apply(const PromptReport& report) { prompts_.Apply(report, clock_.Now()); }
  void Apply(const ConfidenceReport& report);
  void Apply(const SessionRequestEnd& end);
  void Apply(const OperatorDelta& delta);
  void Apply(const EndpointDelta& delta);
  void Apply(const RouterDelta& delta);
  void Apply(const PeerReport& report);
  void Apply(const PromptEvidenceReport& report) { prompts_.Apply(report, clock_.Now()); }
  void Apply(const RateLimitReport& report);

  /// Does periodic work; returns the rollout rows to write to the store.
  std::vector<RolloutProgress> Tick();
  /// Report for the other entries; records what they are told.
  PeerReport MakeReport();
  /// Evidence about prompt parts for the other entries; empty when none is due.
  std::optional<PromptEvidenceReport> TakePromptEvidence() {
    return prompts_.TakeReport(clock_.Now());
  }

  /// Rate limits of endpoints for the other entries; empty when none is due.
  std::optional<RateLimitReport> TakeRateLimits();

  /// Whether requests can be routed: a fresh configuration is installed, and endpoints and entries
  /// have been listed.
  bool Ready() const;
  /// Time until which the router is ready if the store sends nothing more.
  MonotonicTime ReadyUntil() const;
  /// Configuration version, its age and the number of entries, for log lines.
  std::string ConfigSummary() const;
  Ref<const RouteTable> table() const { return table_; }
  Duration ConfigAge() const;
  /// Time up to which the other entries have confirmed the configuration.
  MonotonicTime peers_covered_until() const { return peers_covered_until_; }
  /// Highest era of the store that another entry has named.
  StoreEra peer_era() const { return peer_era_; }
  std::uint32_t entries() const { return peers_.EntryCount(); }
  std::size_t endpoint_count() const { return pool_.size(); }
  std::size_t rate_limited_endpoints() const { return pool_.rate_limits().limited_count(); }
  /// Slowdowns over all endpoints as of the last `Tick`.
  const SlowdownQuantiles& slowdown_quantiles() const { return slowdown_quantiles_; }
  std::size_t quarantined_prompt_parts() const { return prompts_.quarantined_count(); }

 private:
  PlanAnswer Refuse(const PlanQuery& query, ResultCode code, std::string detail) const;
  PlanAnswer Refuse(const PlanQuery& query, ResultCode code, std::string detail,
                    Duration retry_after) const;
  /// Refuses a request for which no endpoint can be chosen.
  PlanAnswer RefuseWithoutEndpoint(const PlanQuery& query, const RequestProgress& progress,
                                   const EndpointRequirements& requirements);
  PlanAnswer ResolveRequest(const PlanQuery& query, RequestProgress& progress) const;
  PlanAnswer ChooseAttempt(const PlanQuery& query, const ModelId& model, RequestProgress progress);
  const RoutedService* ChooseService(const PlanQuery& query, const Route& route) const;
  /// Whether the confidence of the answer in hand is too low at the present load.
  EscalationConditions ConditionsOf(const ServiceId& service);
  bool ShouldEscalate(const PlanQuery& query, const RequestProgress& progress);
  /// Model of the next attempt, empty when the engine selects it; no value when the answer in hand
  /// is to be delivered.
  std::optional<ModelId> ChooseModel(const PlanQuery& query, const RequestProgress& progress);
  /// Models of the route with their prices, and whether they can answer the request in time.
  std::vector<ModelCandidate> Candidates(const PlanQuery& query, const RequestProgress& progress);
  Tokens EstimateWork(const CallerRequest& request, const RoutedService& service,
                      const ModelId& model) const;
  RepeatBudget& BudgetOf(const ServiceId& service);
  void Install(const Ref<const RouteTable>& table);
  void ApplyEvacuation(const OperatorRow& row);
  /// Extends the freshness of the configuration when another entry reports the same operator orders
  /// as of a later time.
  void ExtendCoverage(const OperatorTableState& orders);
  Duration ColdTime(const ServiceId& service) const;
  /// @param source Where the statement comes from: an answer or the report of an entry.
  void LogRateLimit(const RequestId& request, const RateLimitStatement& statement,
                    const EndpointRateLimits::Change& change, std::string_view source) const;

  RouterIdentity identity_;
  RouterLimits limits_;
  const Clock& clock_;
  Random random_;
  EventLog& log_;

  Ref<const RouteTable> table_;
  MonotonicTime config_covered_until_{};
  MonotonicTime peers_covered_until_{};
  StoreEra peer_era_;
  OperatorTableState orders_;
  std::optional<Duration> store_offset_;
  std::chrono::milliseconds store_now_{0};
  MonotonicTime store_read_{};
  bool endpoints_listed_ = false;
  bool routers_listed_ = false;
  EndpointPool pool_;
  SlowdownQuantiles slowdown_quantiles_;
  RolloutController rollouts_;
  VersionSelector versions_;
  PeerView peers_;
  ModelChoice models_;
  ModelAcceptances acceptances_;
  StreamPace pace_;
  PromptGuard prompts_;
  std::map<ServiceId, RepeatBudget> budgets_;
};

}  // namespace bamboodock
