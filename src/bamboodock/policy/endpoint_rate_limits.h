#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"
#include "bamboodock/policy/entry_ranking.h"
#include "bamboodock/policy/token_bucket.h"
#include "bamboodock/routing/endpoint_record.h"

namespace bamboodock {

/// What an answer of an endpoint says about the rate at which it takes requests.
struct RateLimitStatement {
  EndpointId endpoint;
  StartTime started;
  /// Requests that the endpoint takes from all entries together; empty when it names no limit.
  std::optional<RequestRate> limit;
  /// When the limit was named. Without a limit, when the request of the answer was sent, since an
  /// endpoint may name its limit only in answers to requests that follow.
  MonotonicTime stated_at;
};

/// Divides the rate limits that endpoints name among the entries, and holds the share of this one.
///
/// Load pattern: many endpoints are in need at once and take only some requests a second, far fewer
/// than there are entries.
///
/// Each limit is divided in equal parts among `kOwners` entries, the first ones in an order on
/// which all entries agree; the others send nothing. So the sum does not depend on the number of
/// entries, and holds without messages. An entry that is unknown to others adds at most one more
/// part.
///
/// Statements are exchanged among the entries, and the latest one counts, so that late, repeated
/// and lost reports do no harm. A statement belongs to one lifetime of an endpoint. While nothing
/// is heard of an endpoint, one entry after another probes it, in case the owners have ended.
class EndpointRateLimits {
 public:
  /// Entries that share a limit. Few, since each may send one request at any moment.
  static constexpr std::uint32_t kOwners = 3;
  /// Part of a limit that is shared out; the rest covers entries that do not know each other yet.
  static constexpr double kPlannedFraction = 0.9;
  /// An owner may send at once one request, and what the whole limit allows in this time.
  static constexpr std::chrono::milliseconds kBurst{250};
  /// Time without a statement after which an entry probes an endpoint, and the next one after it.
  static constexpr std::chrono::seconds kProbeInterval{5};
  /// Statements of other entries count only below this age.
  static constexpr std::chrono::seconds kMaxAge{10};
  /// A change is reported for this time with each report, other statements at this interval.
  static constexpr std::chrono::seconds kNewsTime{1};
  static constexpr std::chrono::seconds kRefreshInterval{2};
  /// Statements in one report at most.
  static constexpr std::size_t kMaxReported = 24;
  /// Lifetimes that are remembered at most.
  static constexpr std::size_t kMaxLifetimes = 4096;

  /// Change of a limit.
  struct Change {
    std::optional<RequestRate> before;
    std::optional<RequestRate> after;
  };

  /// Records a statement in an answer to this entry.
  std::optional<Change> Observe(const RateLimitStatement& statement, MonotonicTime now) {
    return Apply(statement, now);
  }
  /// Records a statement that another entry has reported.
  std::optional<Change> Merge(RateLimitStatement statement, MonotonicTime now);

  /// Whether this entry may send the endpoint a request now.
  bool HasRoom(const EndpointId& id, StartTime started, const EntryRanking& ranking,
               MonotonicTime now);
  /// Records that this entry sends the endpoint a request.
  void OnSend(const EndpointId& id, StartTime started, const EntryRanking& ranking,
              MonotonicTime now);
  /// When this entry, or else any other, is expected to have room for a request; in the past when
  /// the endpoint names no limit.
  MonotonicTime NextRoom(const EndpointId& id, StartTime started, const EntryRanking& ranking,
                         MonotonicTime now);
  bool IsLimited(const EndpointId& id, StartTime started) const;

  /// Statements for the other entries, changes first.
  std::vector<RateLimitStatement> TakeReport(MonotonicTime now);
  /// Number of endpoint lifetimes with a limit.
  std::size_t limited_count() const;

 private:
  using Lifetime = std::pair<EndpointId, StartTime>;
  struct State {
    std::optional<RequestRate> limit;
    MonotonicTime stated_at;
    MonotonicTime changed_at;
    MonotonicTime reported_at;
    /// Empty at first: this entry has just sent a request, or others have.
    TokenBucket bucket;
    MonotonicTime probed_at;
    /// Rank of this entry for the endpoint, as of `ranking_generation`.
    std::uint32_t rank = 0;
    std::uint64_t ranking_generation = 0;
  };

  std::optional<Change> Apply(const RateLimitStatement& statement, MonotonicTime now);
  State* FindLimited(const EndpointId& id, StartTime started);
  /// Brings the rank up to date.
  static void UpdateRank(State& state, const EndpointId& id, const EntryRanking& ranking);
  /// Share of an owner.
  static TokenBucketLimits ShareOf(const State& state, const EntryRanking& ranking);
  /// Whether it is this entry's turn to probe an endpoint of which nothing is heard.
  static bool MayProbe(const State& state, const EntryRanking& ranking, MonotonicTime now);
  /// Forgets lifetimes that have ended their limit, and the oldest ones beyond `kMaxLifetimes`.
  void Prune(MonotonicTime now);

  std::map<Lifetime, State> states_;
};

}  // namespace bamboodock
