#pragma once

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bamboodock/core/clock.h"
#include "bamboodock/policy/cold_rate_limit.h"
#include "bamboodock/policy/decaying_answer_counts.h"
#include "bamboodock/policy/endpoint_pace.h"
#include "bamboodock/policy/endpoint_rate_limits.h"
#include "bamboodock/policy/endpoint_statements.h"
#include "bamboodock/policy/entry_ranking.h"
#include "bamboodock/policy/latency_baseline.h"
#include "bamboodock/policy/placement.h"
#include "bamboodock/policy/random.h"
#include "bamboodock/policy/sliding_count.h"
#include "bamboodock/policy/slowdown_quantiles.h"
#include "bamboodock/routing/attempt_plan.h"
#include "bamboodock/routing/endpoint_record.h"
#include "bamboodock/routing/peer_report.h"

namespace bamboodock {

/// State of one endpoint: registration, load and health.
struct PooledEndpoint {
  EndpointRecord record;
  /// Open attempts of this entry.
  std::uint32_t in_flight = 0;
  /// Prompt tokens, weighted by model price, of this entry's attempts that wait for the head of the
  /// answer.
  std::uint64_t pending_work = 0;
  /// Pending work of the other entries with the time of their last report.
  std::map<IncarnationId, std::pair<std::uint64_t, MonotonicTime>> pending_elsewhere;
  /// Open attempts of the other entries by the endpoint's last load report, and when it arrived.
  double in_flight_elsewhere = 0;
  MonotonicTime load_reported_at{};
  EndpointPace pace;
  /// Slowdown that the other entries were told last, and when.
  Slowdown shared_slowdown{1};
  MonotonicTime slowdown_shared_at{};
  /// Tokens for which this entry's open attempts need memory.
  Tokens memory_used;
  /// Whether a load report could not be read.
  bool had_unreadable_load = false;
  /// The request rate is limited until then, as the endpoint may have cold caches.
  MonotonicTime cold_until{};
  /// Chosen until then only if no other endpoint is usable, after a connect error or frequent
  /// failures.
  MonotonicTime backoff_until{};
  std::uint32_t failures_in_a_row = 0;
  DecayingAnswerCounts answers;
  /// Smoothed ratio of the time to the head of an answer to the baseline of its route and model.
  double latency_ratio = 1;
  /// Attempts that this entry sent in the last second.
  SlidingCount recent_sends{std::chrono::seconds(1)};
};

/// Requirements on the endpoint of one attempt.
struct EndpointRequirements {
  const RoutedService* service = nullptr;
  /// Versions that may be used.
  std::function<bool(const VersionId&)> allows_version;
  const std::vector<EndpointId>* tried = nullptr;
  /// Hash of the shared part of the prompt; 0 when the request has none.
  std::uint64_t affinity = 0;
  /// Tokens of the prompt's shared parts; an endpoint that has them cached does not process them
  /// again.
  Tokens shared;
  /// Share of the usable endpoints that may be chosen; below 1 while a version is on trial, so that
  /// each chosen endpoint gets the load that it would get without a trial.
  Ratio subset_share{1.0};
  /// Estimated work of the attempt.
  Tokens work;
  /// Part of `work` for the shared parts of the prompt.
  Tokens shared_work;
  /// Tokens for which the attempt needs memory.
  Tokens memory;
  /// Whether the caller can be answered without the attempt.
  bool optional = false;
};

/// All registered endpoints with their load and health. Used on the planning duty's thread only.
class EndpointPool {
 public:
  EndpointPool(HostId self, AvailabilityZoneId local_zone, double cold_overrun,
               double cold_tolerance);

  /// Sets the other entries, which share the rate of cold endpoints. Before the first call cold
  /// endpoints with a rate limit are not chosen.
  void SetOtherEntries(std::vector<HostId> others);

  /// Adds or updates an endpoint. One that has restarted counts as cold for `cold_time`.
  void Upsert(const EndpointRecord& record, Duration cold_time, MonotonicTime now);
  void Remove(const EndpointId& id);
  /// Treats all endpoints of the zone as cold for `cold_time`, for use when an evacuation ends.
  void AssumeCold(const AvailabilityZoneId& zone, Duration cold_time, MonotonicTime now);

  /// Returns whether that changes the state of the zone.
  bool Evacuate(const AvailabilityZoneId& zone, bool evacuated);

  /// Chooses an endpoint for one attempt; returns null when none is usable.
  PooledEndpoint* Choose(const EndpointRequirements& requirements, Random& random,
                         MonotonicTime now);
  /// When the first of the endpoints that have asked for a pause or limit their rate takes requests
  /// again; empty when none of those that meet the requirements has.
  std::optional<MonotonicTime> FirstAvailableAt(const EndpointRequirements& requirements,
                                                MonotonicTime now);
  /// @param memory Tokens for which the attempt needs memory.
  void OnSend(PooledEndpoint& endpoint, Tokens work, Tokens memory, MonotonicTime now);
  void OnHead(const HeadReport& report, MonotonicTime now);
  /// Records a load report that cannot be read; returns whether it is the first one of this
  /// lifetime of the endpoint.
  bool OnUnreadableLoad(const EndpointId& id, StartTime started);
  EndpointRateLimits& rate_limits() { return rate_limits_; }
  const EndpointRateLimits& rate_limits() const { return rate_limits_; }
  /// Records that an answer of the endpoint states that it drains. It is not chosen again in this
  /// lifetime, whatever its registration says. Returns whether that was not known before.
  bool OnDrainingStated(const EndpointId& id, StartTime started, MonotonicTime now);
  /// @param updates_baseline Whether the latency enters the baseline. Must be false for a version
  /// on trial, which is compared with the baseline.
  void OnReport(const AttemptReport& report, Duration cold_time, bool updates_baseline,
                MonotonicTime now);

  /// Drops the pending work of an entry that has ended.
  void ClearPending(const IncarnationId& entry);
  /// Replaces the pending work that the other entry reported before. Time is proportional to the
  /// number of endpoints in both reports.
  void UpdatePending(const IncarnationId& entry, const std::vector<PendingWork>& pending,
                     MonotonicTime now);
  /// Pending work of this entry, largest first, for at most `max_count` endpoints.
  std::vector<PendingWork> LargestPending(std::size_t max_count) const;
  /// Long-run slowdowns for the other entries, at most `max_count`: those that changed most since
  /// they were told, then those that were told longest ago, as reports may be lost.
  std::vector<EndpointSlowdown> TakeSlowdowns(std::size_t max_count, MonotonicTime now);
  /// Records long-run slowdowns that another entry has observed.
  void MergeSlowdowns(const std::vector<EndpointSlowdown>& slowdowns, MonotonicTime now);
  /// Slowdowns over all endpoints; one that states none counts as 1.
  SlowdownQuantiles Slowdowns(MonotonicTime now) const;
  /// Mean pending work of all entries per endpoint of the service, without draining ones.
  double MeanPending(const ServiceId& service, MonotonicTime now) const;

  /// Compares the latencies of the answer with the baseline of its route and model.
  LatencyBaseline::Verdict Judge(const AttemptReport& report) const {
    return latency_baseline_.Judge(report);
  }

  /// Number of endpoints by version, without draining ones.
  const std::map<VersionId, std::size_t>& VersionCounts(const ServiceId& service);
  /// Versions with endpoints that do not drain.
  std::vector<VersionId> Versions(const ServiceId& service);
  /// Open attempts of this entry at endpoints whose version is not `target`.
  std::uint64_t OpenAtOtherVersions(const ServiceId& service, const VersionId& target) const;
  std::size_t size() const { return endpoints_.size(); }
  const PooledEndpoint* Find(const EndpointId& id) const;
  const EntryRanking& ranking() const { return ranking_; }

 private:
  /// Requests per second that this entry may send to the endpoint while it is cold.
  std::uint32_t ColdShareOf(const PooledEndpoint& endpoint, const ColdRateLimit& limit) const;
  /// Whether the endpoint meets the requirements, and neither drains nor is evacuated.
  bool IsUsable(const PooledEndpoint& endpoint, const EndpointRequirements& requirements) const;
  /// Time until which the endpoint has asked not to be sent requests.
  MonotonicTime UnavailableUntil(const PooledEndpoint& endpoint) const;
  /// Whether the rate limit that the endpoint names leaves room for a request of this entry.
  bool HasRoom(const PooledEndpoint& endpoint, MonotonicTime now);
  bool IsRateLimited(const PooledEndpoint& endpoint) const;
  /// Leaves only the endpoints that make the best use of rate limits, which count requests of any
  /// size: those with a limit for much work, the others for little. Without others, only optional
  /// attempts keep away from the limited ones.
  void UseRateLimits(std::vector<PooledEndpoint*>& usable,
                     const EndpointRequirements& requirements) const;
  static double TotalPending(const PooledEndpoint& endpoint, MonotonicTime now);
  /// Open attempts of the other entries, estimated from the last load report.
  static double InFlightElsewhere(const PooledEndpoint& endpoint, MonotonicTime now);
  double Load(const PooledEndpoint& endpoint, MonotonicTime now) const;
  double Score(PooledEndpoint& endpoint, MonotonicTime now) const;
  /// Keeps the endpoints with the highest rendezvous weight for the service; all entries keep the
  /// same ones.
  static void SelectSubset(std::vector<PooledEndpoint*>& usable,
                           const EndpointRequirements& requirements);
  PooledEndpoint* ChooseByAffinity(const std::vector<PooledEndpoint*>& candidates,
                                   const EndpointRequirements& requirements,
                                   MonotonicTime now) const;
  /// Whether the attempt fits into the endpoint's memory, as far as is known of it.
  bool HasMemory(const PooledEndpoint& endpoint, const EndpointRequirements& requirements,
                 MonotonicTime now) const;
  static PlacementErrors ErrorsOf(const PooledEndpoint& endpoint, MonotonicTime now);
  /// Expected time of the attempt if no part of its prompt is cached.
  PlacementOption MakeOption(PooledEndpoint& endpoint, const EndpointRequirements& requirements,
                             MonotonicTime now) const;
  /// Leaves out the work for shared prompt parts at the endpoints that are expected to have them
  /// cached.
  static void CountCachedParts(const std::vector<PooledEndpoint*>& candidates,
                               const EndpointRequirements& requirements,
                               std::vector<PlacementOption>& options);
  /// Chooses by expected time, for endpoints that state how long work takes.
  PooledEndpoint* ChooseByTime(std::vector<PooledEndpoint*>& candidates,
                               const EndpointRequirements& requirements, Random& random,
                               MonotonicTime now) const;
  /// Endpoint with this id and start time; null when it is gone or has restarted.
  PooledEndpoint* FindCurrent(const EndpointId& id, StartTime started);
  static void UpdateLoad(PooledEndpoint& endpoint, const std::optional<ReportedLoad>& load,
                         MonotonicTime now);
  void BackOffOutlier(PooledEndpoint& endpoint, MonotonicTime now);
  void UpdateLatency(PooledEndpoint& endpoint, const AttemptReport& report, bool updates_baseline);

  EntryRanking ranking_;
  AvailabilityZoneId local_zone_;
  double cold_overrun_;
  double cold_tolerance_;
  std::map<EndpointId, PooledEndpoint> endpoints_;
  std::map<AvailabilityZoneId, bool> evacuated_;
  LatencyBaseline latency_baseline_;
  /// Mean of the memory that this entry's attempts need, in tokens; stands for those of the others.
  double mean_memory_ = 0;
  /// Includes what registrations said, since an older one may be delivered again.
  EndpointStatements statements_;
  EndpointRateLimits rate_limits_;
  /// Endpoints that each other entry listed in its last report.
  std::map<IncarnationId, std::vector<EndpointId>> reported_by_entry_;
  /// Cached results of `VersionCounts`; cleared when an endpoint changes.
  std::map<ServiceId, std::map<VersionId, std::size_t>> version_counts_;
};

}  // namespace bamboodock
