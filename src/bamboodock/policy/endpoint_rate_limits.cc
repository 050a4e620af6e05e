#include "bamboodock/policy/endpoint_rate_limits.h"

#include <algorithm>

namespace bamboodock {

namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

std::optional<EndpointRateLimits::Change> EndpointRateLimits::Apply(
    const RateLimitStatement& statement, MonotonicTime now) {
  const Lifetime lifetime{statement.endpoint, statement.started};
  auto found = states_.find(lifetime);
  if (found == states_.end()) {
    if (!statement.limit) return std::nullopt;
    const State added{std::nullopt, {}, {}, {}, TokenBucket(0, now), {}, 0, 0};
    found = states_.emplace(lifetime, added).first;
  }
  State& state = found->second;
  if (statement.stated_at <= state.stated_at) return std::nullopt;
  state.stated_at = statement.stated_at;
  if (state.limit == statement.limit) return std::nullopt;
  const Change change{std::exchange(state.limit, statement.limit), statement.limit};
  if (!change.before) state.bucket = TokenBucket(0, now);
  state.changed_at = now;
  state.reported_at = {};
  Prune(now);
  return change;
}

std::optional<EndpointRateLimits::Change> EndpointRateLimits::Merge(RateLimitStatement statement,
                                                                    MonotonicTime now) {
  if (now - statement.stated_at > kMaxAge) return std::nullopt;
  statement.stated_at = std::min(statement.stated_at, now);
  return Apply(statement, now);
}

EndpointRateLimits::State* EndpointRateLimits::FindLimited(const EndpointId& id,
                                                           StartTime started) {
  if (states_.empty()) return nullptr;
  const auto found = states_.find({id, started});
  return found == states_.end() || !found->second.limit ? nullptr : &found->second;
}

bool EndpointRateLimits::IsLimited(const EndpointId& id, StartTime started) const {
  if (states_.empty()) return false;
  const auto found = states_.find({id, started});
  return found != states_.end() && found->second.limit;
}

void EndpointRateLimits::UpdateRank(State& state, const EndpointId& id,
                                    const EntryRanking& ranking) {
  if (state.ranking_generation == ranking.generation()) return;
  state.ranking_generation = ranking.generation();
  state.rank = ranking.Rank(id.value());
}

TokenBucketLimits EndpointRateLimits::ShareOf(const State& state, const EntryRanking& ranking) {
  const double limit = state.limit->value();
  const RequestRate rate(kPlannedFraction * limit / std::min(kOwners, ranking.size()));
  return {rate, 1 + limit * Seconds(kBurst).count()};
}

bool EndpointRateLimits::MayProbe(const State& state, const EntryRanking& ranking,
                                  MonotonicTime now) {
  if (now - state.probed_at < kProbeInterval) return false;
  const auto intervals = (now - state.stated_at) / kProbeInterval;
  return intervals > 0 && static_cast<std::uint64_t>(intervals - 1) % ranking.size() == state.rank;
}

bool EndpointRateLimits::HasRoom(const EndpointId& id, StartTime started,
                                 const EntryRanking& ranking, MonotonicTime now) {
  State* const state = FindLimited(id, started);
  if (state == nullptr) return true;
  if (!ranking.known()) return false;
  UpdateRank(*state, id, ranking);
  if (MayProbe(*state, ranking, now)) return true;
  if (state->rank >= kOwners) return false;
  const TokenBucketLimits share = ShareOf(*state, ranking);
  return state->bucket.TimeToToken(share, now, kProbeInterval) == Duration::zero();
}

void EndpointRateLimits::OnSend(const EndpointId& id, StartTime started,
                                const EntryRanking& ranking, MonotonicTime now) {
  State* const state = FindLimited(id, started);
  if (state == nullptr) return;
  state->probed_at = now;
  if (state->rank < kOwners) state->bucket.TryTake(ShareOf(*state, ranking), now);
}

MonotonicTime EndpointRateLimits::NextRoom(const EndpointId& id, StartTime started,
                                           const EntryRanking& ranking, MonotonicTime now) {
  State* const state = FindLimited(id, started);
  if (state == nullptr) return {};
  UpdateRank(*state, id, ranking);
  const double rate = kPlannedFraction * state->limit->value();
  const Seconds mean_interval(rate > 0 ? 1 / rate : Seconds(kProbeInterval).count());
  Duration wait =
      std::min<Duration>(std::chrono::duration_cast<Duration>(mean_interval), kProbeInterval);
  if (ranking.known() && state->rank < kOwners) {
    wait = std::min(wait, state->bucket.TimeToToken(ShareOf(*state, ranking), now, kProbeInterval));
  }
  return now + wait;
}

std::vector<RateLimitStatement> EndpointRateLimits::TakeReport(MonotonicTime now) {
  struct Due {
    bool is_news;
    std::map<Lifetime, State>::iterator entry;
  };
  std::vector<Due> due;
  for (auto entry = states_.begin(); entry != states_.end(); ++entry) {
    const State& state = entry->second;
    const bool is_news = now - state.changed_at < kNewsTime;
    const bool is_due = now - state.reported_at >= kRefreshInterval;
    if (now - state.stated_at <= kMaxAge && (is_news || is_due)) due.push_back({is_news, entry});
  }
  std::sort(due.begin(), due.end(), [](const Due& a, const Due& b) {
    if (a.is_news != b.is_news) return a.is_news;
    return a.entry->second.reported_at < b.entry->second.reported_at;
  });
  if (due.size() > kMaxReported) due.resize(kMaxReported);
  std::vector<RateLimitStatement> report;
  for (const Due& item : due) {
    const auto& [id, started] = item.entry->first;
    State& state = item.entry->second;
    state.reported_at = now;
    report.push_back({id, started, state.limit, state.stated_at});
  }
  return report;
}

std::size_t EndpointRateLimits::limited_count() const {
  const auto count = std::count_if(states_.begin(), states_.end(), [](const auto& state) {
    return state.second.limit.has_value();
  });
  return static_cast<std::size_t>(count);
}

void EndpointRateLimits::Prune(MonotonicTime now) {
  std::erase_if(states_, [now](const auto& entry) {
    return !entry.second.limit && now - entry.second.stated_at > kMaxAge;
  });
  if (states_.size() <= kMaxLifetimes) return;
  const auto oldest = std::min_element(
      states_.begin(), states_.end(),
      [](const auto& a, const auto& b) { return a.second.stated_at < b.second.stated_at; });
  states_.erase(oldest);
}

}  // namespace bamboodock
