#pragma once

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bamboodock/core/clock.h"
#include "bamboodock/policy/answer_record.h"
#include "bamboodock/policy/cold_limit.h"
#include "bamboodock/policy/entry_ranking.h"
#include "bamboodock/policy/random.h"
#include "bamboodock/policy/sliding_count.h"
#include "bamboodock/policy/usual_times.h"
#include "bamboodock/routing/attempt_plan.h"
#include "bamboodock/routing/endpoint_record.h"
#include "bamboodock/routing/peer_report.h"

namespace bamboodock {

/// What the router knows of one endpoint.
struct PooledEndpoint {
  EndpointRecord record;
  /// Attempts that this entry has open there.
  std::uint32_t in_flight = 0;
  /// Prompt tokens, weighted by price, of those that have not begun to answer.
  std::uint64_t pending_work = 0;
  /// The same for the other entries, by their last reports.
  std::map<IncarnationId, std::pair<std::uint64_t, MonotonicTime>> pending_elsewhere;
  /// Attempts of the other entries when the endpoint last reported, and when that was.
  double others = 0;
  MonotonicTime reported{};
  /// The endpoint bears only a limited rate until then.
  MonotonicTime cold_until{};
  /// Not used until then, after a failure to connect or repeated failures.
  MonotonicTime avoid_until{};
  std::uint32_t failures_in_a_row = 0;
  AnswerRecord answers;
  /// Smoothed ratio of its times to the head of an answer to those of the service.
  double slowness = 1;
  /// Sends of this entry in the last second.
  SlidingCount arrivals{std::chrono::seconds(1)};
};

/// What an endpoint is needed for.
struct EndpointNeed {
  const RoutedService* service = nullptr;
  /// Versions that may be used.
  std::function<bool(const VersionId&)> allows_version;
  const std::vector<EndpointId>* tried = nullptr;
  /// Hash of the shared part of the prompt; 0 when the request has none.
  std::uint64_t affinity = 0;
  /// Tokens of the prompt's shared parts, which an endpoint that has them need not read.
  Tokens shared;
  /// Share of the usable endpoints that may be chosen; below 1 while a version is tried out, so
  /// that each of them bears its usual load.
  Ratio spread{1.0};
};

/// All registered endpoints with their load and health; owned by the route duty.
class EndpointPool {
 public:
  EndpointPool(HostId self, AvailabilityZoneId local_zone, double cold_overrun,
               std::uint32_t cold_tolerance);

  /// Tells which other entries there are; until then cold endpoints are not used.
  void SetOtherEntries(std::vector<HostId> others);

  /// Adds or changes an endpoint; `cold_time` is used when the endpoint has started anew.
  void Upsert(const EndpointRecord& record, Duration cold_time, MonotonicTime now);
  void Remove(const EndpointId& id);
  /// Limits the rate of all endpoints of the zone, which may be cold when it is taken back.
  void AssumeCold(const AvailabilityZoneId& zone, Duration cold_time, MonotonicTime now);

  void Evacuate(const AvailabilityZoneId& zone, bool evacuated);

  /// Endpoint for one attempt; null when none may be used.
  PooledEndpoint* Choose(const EndpointNeed& need, Random& random, MonotonicTime now);
  void OnSend(PooledEndpoint& endpoint, Tokens work, MonotonicTime now);
  void OnHead(const HeadReport& report, MonotonicTime now);
  /// @param sets_usual Whether the time of the answer counts to what is usual; that of a version on
  /// trial must not, since it is judged by it.
  void OnReport(const AttemptReport& report, Duration cold_time, bool sets_usual,
                MonotonicTime now);

  /// Forgets what an entry that has ended reported.
  void ForgetPending(const IncarnationId& entry);
  /// Replaces what the other entry reported before; costs time for the endpoints named only.
  void NotePending(const IncarnationId& entry, const std::vector<PendingWork>& pending,
                   MonotonicTime now);
  /// Pending work of this entry, largest first, at most `most` endpoints.
  std::vector<PendingWork> Pending(std::size_t most) const;
  /// Mean of the pending work of all entries over the service's endpoints that take work.
  double MeanPending(const ServiceId& service, MonotonicTime now) const;

  /// How the times of the answer compare with what is usual for its route and model.
  UsualTimes::Verdict Judge(const AttemptReport& report) const { return times_.Judge(report); }

  /// Whether an endpoint of this version takes new work.
  bool HasVersion(const ServiceId& service, const VersionId& version) const;
  /// Versions of the endpoints that take new work, with their numbers.
  const std::map<VersionId, std::size_t>& Versions(const ServiceId& service);
  /// Open attempts of this entry at endpoints of other versions than `target`.
  std::uint64_t OpenAtOthers(const ServiceId& service, const VersionId& target) const;
  std::size_t size() const { return endpoints_.size(); }
  const PooledEndpoint* Find(const EndpointId& id) const;

 private:
  /// Requests that this entry may send to the endpoint in a second while it is cold.
  std::uint32_t ColdShareOf(const PooledEndpoint& endpoint, const ColdBound& bound) const;
  bool Usable(const PooledEndpoint& endpoint, const EndpointNeed& need) const;
  static double PendingOfAll(const PooledEndpoint& endpoint, MonotonicTime now);
  double Load(const PooledEndpoint& endpoint, MonotonicTime now) const;
  double Score(PooledEndpoint& endpoint, MonotonicTime now) const;
  /// Keeps the endpoints of highest rank for the need's service, alike at all entries.
  static void Narrow(std::vector<PooledEndpoint*>& usable, const EndpointNeed& need);
  PooledEndpoint* Preferred(const std::vector<PooledEndpoint*>& candidates,
                            const EndpointNeed& need, MonotonicTime now) const;
  /// The endpoint in the lifetime that is meant; null when it is gone or has restarted.
  PooledEndpoint* FindAlive(const EndpointId& id, StartTime started);
  static void NoteLoad(PooledEndpoint& endpoint, const std::optional<ReportedLoad>& load,
                       MonotonicTime now);
  void JudgeHealth(PooledEndpoint& endpoint, MonotonicTime now);
  void UpdateLatency(PooledEndpoint& endpoint, const AttemptReport& report, bool sets_usual);

  EntryRanking ranking_;
  AvailabilityZoneId local_zone_;
  double cold_overrun_;
  std::uint32_t cold_tolerance_;
  std::map<EndpointId, PooledEndpoint> endpoints_;
  std::map<AvailabilityZoneId, bool> evacuated_;
  UsualTimes times_;
  /// Endpoints that each other entry named in its last report.
  std::map<IncarnationId, std::vector<EndpointId>> named_;
  /// Answers of `Versions` since an endpoint last changed.
  std::map<ServiceId, std::map<VersionId, std::size_t>> versions_;
};

}  // namespace bamboodock
