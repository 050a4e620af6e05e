#include "bamboodock/command/router/endpoint_pool.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace bamboodock {
namespace {

/// Backoff after a connect error; doubles with each further one up to `kMaxBackoff`.
constexpr std::chrono::milliseconds kInitialBackoff{500};
constexpr std::chrono::milliseconds kMaxBackoff{4000};
/// Backoff of an endpoint that fails clearly more often than the others of its version.
constexpr std::chrono::milliseconds kOutlierBackoff{2500};
/// Registrations reach the store with a delay, so an endpoint counts as cold for this much longer.
constexpr std::chrono::milliseconds kRegistrationLag{1200};
/// Half-life of a load report, since requests of other entries end after it was made.
constexpr std::chrono::duration<double> kReportHalfLife{1.5};
/// A report of pending work expires after this time; reports arrive more often than that.
constexpr std::chrono::milliseconds kPendingLifetime{1000};
/// An endpoint with the prompt's shared parts in its cache is preferred while its load is at most
/// this multiple of the mean, plus one request per `kTokensPerExtraRequest` shared tokens, which it
/// does not process again.
constexpr double kAffinityFactor = 1.15;
constexpr double kTokensPerExtraRequest = 1500;
/// Added to the score of an endpoint in another zone, in requests per slot.
constexpr double kCrossZonePenalty = 0.08;
/// Weighted failures before an endpoint is compared with the others.
constexpr double kMinFailureWeight = 2.4;
/// An endpoint backs off when its share of failures exceeds that of the others by this much.
constexpr double kFailureShareMargin = 0.25;
constexpr double kLatencyRatioSmoothing = 0.2;
/// Upper bound of the ratio of a single answer, before smoothing.
constexpr double kMaxLatencyRatioSample = 10.0;
/// Ratio from which an endpoint counts as slow.
constexpr double kSlowRatio = 2.0;
/// Weight of a new attempt in the mean memory of attempts.
constexpr double kMemorySmoothing = 0.02;
/// Relative change of a slowdown from which the other entries are told of it before others.
constexpr double kSlowdownNews = 0.03;

std::uint64_t RendezvousWeight(const EndpointId& id, std::uint64_t key) {
  return XXH3_64bits_withSeed(id.value().data(), id.value().size(), key);
}

bool CountsAsFailure(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kFailure || outcome == AttemptOutcome::kBroken ||
         outcome == AttemptOutcome::kSilent || outcome == AttemptOutcome::kRefused;
}

}  // namespace

EndpointPool::EndpointPool(HostId self, AvailabilityZoneId local_zone, double cold_overrun,
                           double cold_tolerance)
    : ranking_(std::move(self)),
      local_zone_(std::move(local_zone)),
      cold_overrun_(cold_overrun),
      cold_tolerance_(cold_tolerance) {}

void EndpointPool::SetOtherEntries(std::vector<HostId> others) {
  ranking_.SetPeers(std::move(others));
}

std::uint32_t EndpointPool::ColdShareOf(const PooledEndpoint& endpoint,
                                        const ColdRateLimit& limit) const {
  if (!ranking_.known()) return 0;
  return ColdShare(limit, ranking_.size(), ranking_.Rank(endpoint.record.id.value()));
}

void EndpointPool::Upsert(const EndpointRecord& record, Duration cold_time, MonotonicTime now) {
  version_counts_.clear();
  PooledEndpoint& endpoint = endpoints_[record.id];
  const bool same = endpoint.record.started == record.started &&
                    endpoint.record.address == record.address && !endpoint.record.id.empty();
  const bool restarted = !same && !endpoint.record.id.empty();
  if (restarted) {
    endpoint = PooledEndpoint();
    endpoint.cold_until = now + cold_time + kRegistrationLag;
  }
  endpoint.record = record;
  if (record.draining) {
    statements_.AddDraining(record.id, record.started, now);
  } else if (statements_.IsDraining(record.id, record.started)) {
    endpoint.record.draining = true;
  }
  if (record.cold_remaining > Duration::zero()) {
    endpoint.cold_until =
        std::max(endpoint.cold_until, now + record.cold_remaining + kRegistrationLag);
  }
}

void EndpointPool::Remove(const EndpointId& id) {
  version_counts_.clear();
  endpoints_.erase(id);
}

void EndpointPool::AssumeCold(const AvailabilityZoneId& zone, Duration cold_time,
                              MonotonicTime now) {
  for (auto& [id, endpoint] : endpoints_) {
    if (endpoint.record.availability_zone != zone) continue;
    endpoint.cold_until = std::max(endpoint.cold_until, now + cold_time + kRegistrationLag);
  }
}

bool EndpointPool::Evacuate(const AvailabilityZoneId& zone, bool evacuated) {
  return std::exchange(evacuated_[zone], evacuated) != evacuated;
}

bool EndpointPool::IsUsable(const PooledEndpoint& endpoint,
                            const EndpointRequirements& requirements) const {
  const EndpointRecord& record = endpoint.record;
  if (record.service != requirements.service->id || record.draining) return false;
  if (!requirements.allows_version(record.version)) return false;
  const auto zone = evacuated_.find(record.availability_zone);
  if (zone != evacuated_.end() && zone->second) return false;
  const auto& tried = *requirements.tried;
  return std::find(tried.begin(), tried.end(), record.id) == tried.end();
}

MonotonicTime EndpointPool::UnavailableUntil(const PooledEndpoint& endpoint) const {
  return statements_.UnavailableUntil(endpoint.record.id, endpoint.record.started);
}

bool EndpointPool::HasRoom(const PooledEndpoint& endpoint, MonotonicTime now) {
  return rate_limits_.HasRoom(endpoint.record.id, endpoint.record.started, ranking_, now);
}

bool EndpointPool::IsRateLimited(const PooledEndpoint& endpoint) const {
  return rate_limits_.IsLimited(endpoint.record.id, endpoint.record.started);
}

void EndpointPool::UseRateLimits(std::vector<PooledEndpoint*>& usable,
                                 const EndpointRequirements& requirements) const {
  const auto limited =
      std::stable_partition(usable.begin(), usable.end(),
                            [this](const auto* endpoint) { return !IsRateLimited(*endpoint); });
  if (limited == usable.end()) return;
  const bool has_others = limited != usable.begin();
  const bool has_much_work =
      static_cast<double>(requirements.work.value()) >= kTokensPerPendingRequest;
  if (!has_others) {
    if (requirements.optional) usable.clear();
  } else if (has_much_work) {
    usable.erase(usable.begin(), limited);
  } else {
    usable.erase(limited, usable.end());
  }
}

std::optional<MonotonicTime> EndpointPool::FirstAvailableAt(
    const EndpointRequirements& requirements, MonotonicTime now) {
  std::optional<MonotonicTime> first;
  for (const auto& [id, endpoint] : endpoints_) {
    const MonotonicTime until =
        std::max(UnavailableUntil(endpoint),
                 rate_limits_.NextRoom(id, endpoint.record.started, ranking_, now));
    if (until <= now || !IsUsable(endpoint, requirements)) continue;
    first = first ? std::min(*first, until) : until;
  }
  return first;
}

double EndpointPool::TotalPending(const PooledEndpoint& endpoint, MonotonicTime now) {
  double pending = static_cast<double>(endpoint.pending_work);
  for (const auto& [entry, report] : endpoint.pending_elsewhere) {
    if (now - report.second < kPendingLifetime) pending += static_cast<double>(report.first);
  }
  return pending;
}

double EndpointPool::InFlightElsewhere(const PooledEndpoint& endpoint, MonotonicTime now) {
  if (endpoint.in_flight_elsewhere <= 0) return 0;
  const std::chrono::duration<double> age = now - endpoint.load_reported_at;
  return endpoint.in_flight_elsewhere * std::exp2(-age / kReportHalfLife);
}

double EndpointPool::Load(const PooledEndpoint& endpoint, MonotonicTime now) const {
  return endpoint.in_flight + InFlightElsewhere(endpoint, now) +
         TotalPending(endpoint, now) / kTokensPerPendingRequest;
}

double EndpointPool::Score(PooledEndpoint& endpoint, MonotonicTime now) const {
  const double slots = std::max(1U, endpoint.record.slots.value());
  double score = (Load(endpoint, now) + 1) / slots;
  score *= std::max(1.0, endpoint.latency_ratio / kSlowRatio);
  if (endpoint.record.availability_zone != local_zone_) score += kCrossZonePenalty;
  score += endpoint.answers.bad(now) / slots;
  return score;
}

PooledEndpoint* EndpointPool::ChooseByAffinity(const std::vector<PooledEndpoint*>& candidates,
                                               const EndpointRequirements& requirements,
                                               MonotonicTime now) const {
  double total = 0;
  for (const PooledEndpoint* endpoint : candidates) total += Load(*endpoint, now);
  const double max_load = kAffinityFactor * total / static_cast<double>(candidates.size()) +
                          static_cast<double>(requirements.shared.value()) / kTokensPerExtraRequest;
  std::vector<std::pair<std::uint64_t, PooledEndpoint*>> ranked;
  ranked.reserve(candidates.size());
  for (PooledEndpoint* endpoint : candidates) {
    ranked.emplace_back(RendezvousWeight(endpoint->record.id, requirements.affinity), endpoint);
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  for (const auto& [weight, endpoint] : ranked) {
    if (Load(*endpoint, now) <= max_load && endpoint->latency_ratio < kSlowRatio) return endpoint;
  }
  return nullptr;
}

bool EndpointPool::HasMemory(const PooledEndpoint& endpoint,
                             const EndpointRequirements& requirements, MonotonicTime now) const {
  const Tokens own = endpoint.memory_used + requirements.memory;
  const Tokens memory = MemoryOf(endpoint.record.slots);
  const double left = static_cast<double>(memory.value()) - static_cast<double>(own.value());
  if (endpoint.in_flight_elsewhere * mean_memory_ <= left) return true;
  return InFlightElsewhere(endpoint, now) * mean_memory_ <= left;
}

PlacementErrors EndpointPool::ErrorsOf(const PooledEndpoint& endpoint, MonotonicTime now) {
  return {endpoint.pace.Error(now),
          ReportError(endpoint.in_flight_elsewhere, now - endpoint.load_reported_at,
                      std::chrono::duration_cast<Duration>(kReportHalfLife))};
}

PlacementOption EndpointPool::MakeOption(PooledEndpoint& endpoint,
                                         const EndpointRequirements& requirements,
                                         MonotonicTime now) const {
  PlacementOption option;
  const double mean = endpoint.pace.mean().value();
  // The latency ratio includes the mean slowdown, which must not count twice.
  const double unexplained = endpoint.latency_ratio / (kSlowRatio * std::max(1.0, mean));
  option.slowdown = Slowdown(endpoint.pace.At(now).value() * std::max(1.0, unexplained));
  option.ahead = RequestEquivalents(Load(endpoint, now));
  option.own = ToRequests(requirements.work);
  option.slots = endpoint.record.slots;
  option.penalty = endpoint.answers.bad(now) / std::max(1U, endpoint.record.slots.value());
  if (endpoint.record.availability_zone != local_zone_) option.penalty += kCrossZonePenalty;
  return option;
}

void EndpointPool::CountCachedParts(const std::vector<PooledEndpoint*>& candidates,
                                    const EndpointRequirements& requirements,
                                    std::vector<PlacementOption>& options) {
  if (requirements.affinity == 0 || requirements.shared_work.value() == 0) return;
  std::vector<std::pair<double, std::size_t>> order;
  order.reserve(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const PooledEndpoint& endpoint = *candidates[i];
    const std::uint64_t weight = RendezvousWeight(endpoint.record.id, requirements.affinity);
    order.emplace_back(CacheOrder(weight, endpoint.pace.mean()), i);
  }
  const std::size_t copies = std::min(kCachedCopies, order.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(copies),
                    order.end());
  const Tokens uncached = requirements.work - requirements.shared_work;
  for (std::size_t i = 0; i < copies; ++i) options[order[i].second].own = ToRequests(uncached);
}

PooledEndpoint* EndpointPool::ChooseByTime(std::vector<PooledEndpoint*>& candidates,
                                           const EndpointRequirements& requirements, Random& random,
                                           MonotonicTime now) const {
  const auto without_memory = std::stable_partition(
      candidates.begin(), candidates.end(),
      [&](const auto* endpoint) { return HasMemory(*endpoint, requirements, now); });
  if (without_memory != candidates.begin()) candidates.erase(without_memory, candidates.end());
  std::vector<PlacementOption> options;
  options.reserve(candidates.size());
  for (PooledEndpoint* endpoint : candidates) {
    options.push_back(MakeOption(*endpoint, requirements, now));
  }
  CountCachedParts(candidates, requirements, options);
  std::vector<double> times(options.size());
  std::transform(options.begin(), options.end(), times.begin(), ExpectedTime);
  const auto error_of = [&](std::size_t i) {
    return ExpectedTimeError(options[i], ErrorsOf(*candidates[i], now));
  };
  return candidates[ChoosePlacement(times, error_of, random)];
}

void EndpointPool::SelectSubset(std::vector<PooledEndpoint*>& usable,
                                const EndpointRequirements& requirements) {
  if (requirements.subset_share.value() >= 1 || usable.size() < 2) return;
  const std::uint64_t key =
      XXH3_64bits(requirements.service->id.value().data(), requirements.service->id.value().size());
  std::sort(usable.begin(), usable.end(), [&](PooledEndpoint* a, PooledEndpoint* b) {
    return RendezvousWeight(a->record.id, key) > RendezvousWeight(b->record.id, key);
  });
  const double kept =
      std::round(requirements.subset_share.value() * static_cast<double>(usable.size()));
  usable.resize(static_cast<std::size_t>(std::max(1.0, kept)));
}

PooledEndpoint* EndpointPool::Choose(const EndpointRequirements& requirements, Random& random,
                                     MonotonicTime now) {
  const ColdRateLimit cold_limit{requirements.service->cold_rate, cold_overrun_, cold_tolerance_};
  const bool limited = cold_limit.rate.value() > 0;
  // Warm endpoints may become cold unnoticed, so those below the default cold share are preferred.
  const std::uint32_t default_share =
      std::max(1U, ColdShare(cold_limit, ranking_.size(), ranking_.size()));
  std::vector<PooledEndpoint*> usable;
  usable.reserve(endpoints_.size());
  for (auto& [id, endpoint] : endpoints_) {
    if (UnavailableUntil(endpoint) > now) continue;
    if (!IsUsable(endpoint, requirements)) continue;
    if (HasRoom(endpoint, now)) usable.push_back(&endpoint);
  }
  SelectSubset(usable, requirements);
  UseRateLimits(usable, requirements);
  std::vector<PooledEndpoint*> below_share;
  std::vector<PooledEndpoint*> above_share;
  std::vector<PooledEndpoint*> backed_off;
  for (PooledEndpoint* endpoint : usable) {
    const bool cold = now < endpoint->cold_until;
    const std::uint32_t share = cold ? ColdShareOf(*endpoint, cold_limit) : default_share;
    const bool below = !limited || endpoint->recent_sends.Count(now) < share;
    if (limited && cold && !below) continue;
    if (now < endpoint->backoff_until) {
      if (below) backed_off.push_back(endpoint);
    } else {
      (below ? below_share : above_share).push_back(endpoint);
    }
  }
  std::vector<PooledEndpoint*>& candidates = !below_share.empty()   ? below_share
                                             : !above_share.empty() ? above_share
                                                                    : backed_off;
  if (candidates.empty()) return nullptr;
  const bool knows_pace =
      std::any_of(candidates.begin(), candidates.end(),
                  [](const PooledEndpoint* endpoint) { return endpoint->pace.known(); });
  if (knows_pace) return ChooseByTime(candidates, requirements, random, now);
  if (requirements.affinity != 0) {
    if (PooledEndpoint* endpoint = ChooseByAffinity(candidates, requirements, now)) return endpoint;
  }
  std::shuffle(candidates.begin(), candidates.end(), random);
  std::vector<double> scores(candidates.size());
  std::transform(candidates.begin(), candidates.end(), scores.begin(),
                 [&](PooledEndpoint* endpoint) { return Score(*endpoint, now); });
  return candidates[static_cast<std::size_t>(std::min_element(scores.begin(), scores.end()) -
                                             scores.begin())];
}

void EndpointPool::OnSend(PooledEndpoint& endpoint, Tokens work, Tokens memory, MonotonicTime now) {
  ++endpoint.in_flight;
  endpoint.memory_used += memory;
  mean_memory_ += kMemorySmoothing * (static_cast<double>(memory.value()) - mean_memory_);
  endpoint.pending_work += work.value();
  endpoint.recent_sends.Add(now);
  rate_limits_.OnSend(endpoint.record.id, endpoint.record.started, ranking_, now);
}

PooledEndpoint* EndpointPool::FindCurrent(const EndpointId& id, StartTime started) {
  const auto found = endpoints_.find(id);
  const bool current = found != endpoints_.end() && found->second.record.started == started;
  return current ? &found->second : nullptr;
}

void EndpointPool::UpdateLoad(PooledEndpoint& endpoint, const std::optional<ReportedLoad>& load,
                              MonotonicTime now) {
  if (!load) return;
  const double total = load->running.value() + load->waiting.value();
  endpoint.in_flight_elsewhere = std::max(0.0, total - endpoint.in_flight);
  endpoint.load_reported_at = now;
  if (load->slowdown) endpoint.pace.Observe(*load->slowdown, now);
}

bool EndpointPool::OnUnreadableLoad(const EndpointId& id, StartTime started) {
  PooledEndpoint* const endpoint = FindCurrent(id, started);
  return endpoint != nullptr && !std::exchange(endpoint->had_unreadable_load, true);
}

void EndpointPool::OnHead(const HeadReport& report, MonotonicTime now) {
  if (report.retry_after) {
    statements_.SetUnavailableUntil(report.endpoint, report.started, now + *report.retry_after,
                                    now);
  }
  PooledEndpoint* endpoint = FindCurrent(report.endpoint, report.started);
  if (endpoint == nullptr) return;
  endpoint->pending_work -= std::min(endpoint->pending_work, report.work.value());
  UpdateLoad(*endpoint, report.load, now);
}

bool EndpointPool::OnDrainingStated(const EndpointId& id, StartTime started, MonotonicTime now) {
  if (!statements_.AddDraining(id, started, now)) return false;
  if (PooledEndpoint* endpoint = FindCurrent(id, started)) {
    endpoint->record.draining = true;
    version_counts_.clear();
  }
  return true;
}

void EndpointPool::BackOffOutlier(PooledEndpoint& endpoint, MonotonicTime now) {
  const double bad = endpoint.answers.bad(now);
  if (bad < kMinFailureWeight) return;
  double others_good = 0;
  double others_bad = 0;
  for (auto& [id, other] : endpoints_) {
    const bool comparable = other.record.service == endpoint.record.service &&
                            other.record.version == endpoint.record.version &&
                            other.record.id != endpoint.record.id;
    if (!comparable) continue;
    others_good += other.answers.good(now);
    others_bad += other.answers.bad(now);
  }
  const double own_share = bad / (bad + endpoint.answers.good(now));
  const double others_share = others_bad / std::max(1.0, others_good + others_bad);
  if (own_share < others_share + kFailureShareMargin) return;
  endpoint.backoff_until = now + kOutlierBackoff;
}

void EndpointPool::UpdateLatency(PooledEndpoint& endpoint, const AttemptReport& report,
                                 bool updates_baseline) {
  const double ratio = latency_baseline_.HeadLatencyRatio(report);
  endpoint.latency_ratio +=
      kLatencyRatioSmoothing * (std::min(ratio, kMaxLatencyRatioSample) - endpoint.latency_ratio);
  if (updates_baseline) latency_baseline_.Learn(report);
}

void EndpointPool::OnReport(const AttemptReport& report, Duration cold_time, bool updates_baseline,
                            MonotonicTime now) {
  PooledEndpoint* const current = FindCurrent(report.endpoint, report.started);
  if (current == nullptr) return;
  PooledEndpoint& endpoint = *current;
  if (endpoint.in_flight > 0) --endpoint.in_flight;
  endpoint.memory_used -=
      std::min(endpoint.memory_used, MemoryNeed(report.prompt_tokens, report.max_output_tokens));
  if (!report.head_latency) {
    endpoint.pending_work -= std::min(endpoint.pending_work, report.work.value());
  }
  if (report.head_latency && report.outcome == AttemptOutcome::kSuccess) {
    UpdateLatency(endpoint, report, updates_baseline);
  }
  if (report.outcome == AttemptOutcome::kSuccess) {
    endpoint.failures_in_a_row = 0;
    endpoint.answers.Add(true, now);
  } else if (CountsAsFailure(report.outcome)) {
    endpoint.answers.Add(false, now);
    BackOffOutlier(endpoint, now);
  } else if (report.outcome == AttemptOutcome::kUnreachable ||
             report.outcome == AttemptOutcome::kWrongEndpoint) {
    const auto backoff = kInitialBackoff * (1U << std::min(endpoint.failures_in_a_row, 3U));
    ++endpoint.failures_in_a_row;
    endpoint.backoff_until = now + std::min<Duration>(backoff, kMaxBackoff);
    // The endpoint may have crashed and would restart cold.
    endpoint.cold_until = std::max(endpoint.cold_until, endpoint.backoff_until + cold_time);
  }
}

void EndpointPool::ClearPending(const IncarnationId& entry) {
  UpdatePending(entry, {}, {});
  reported_by_entry_.erase(entry);
}

void EndpointPool::UpdatePending(const IncarnationId& entry,
                                 const std::vector<PendingWork>& pending, MonotonicTime now) {
  std::vector<EndpointId>& reported_ids = reported_by_entry_[entry];
  for (const EndpointId& id : reported_ids) {
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end()) found->second.pending_elsewhere.erase(entry);
  }
  reported_ids.clear();
  for (const PendingWork& work : pending) {
    const auto found = endpoints_.find(work.endpoint);
    if (found == endpoints_.end()) continue;
    found->second.pending_elsewhere[entry] = {work.work.value(), now};
    reported_ids.push_back(work.endpoint);
  }
}

std::vector<PendingWork> EndpointPool::LargestPending(std::size_t max_count) const {
  std::vector<PendingWork> pending;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.pending_work > 0) pending.push_back({id, Tokens(endpoint.pending_work)});
  }
  std::sort(pending.begin(), pending.end(),
            [](const auto& a, const auto& b) { return a.work > b.work; });
  if (pending.size() > max_count) pending.resize(max_count);
  return pending;
}

std::vector<EndpointSlowdown> EndpointPool::TakeSlowdowns(std::size_t max_count,
                                                          MonotonicTime now) {
  struct Due {
    double news;
    PooledEndpoint* endpoint;
  };
  std::vector<Due> due;
  for (auto& [id, endpoint] : endpoints_) {
    if (!endpoint.pace.has_own()) continue;
    const double ratio = endpoint.pace.own_mean().value() / endpoint.shared_slowdown.value();
    const double change = std::abs(std::log(ratio));
    due.push_back({change < kSlowdownNews ? 0 : change, &endpoint});
  }
  const auto count = static_cast<std::ptrdiff_t>(std::min(max_count, due.size()));
  std::partial_sort(due.begin(), due.begin() + count, due.end(), [](const Due& a, const Due& b) {
    if (a.news != b.news) return a.news > b.news;
    return a.endpoint->slowdown_shared_at < b.endpoint->slowdown_shared_at;
  });
  due.resize(static_cast<std::size_t>(count));
  std::vector<EndpointSlowdown> slowdowns;
  for (const auto& [news, endpoint] : due) {
    endpoint->shared_slowdown = endpoint->pace.own_mean();
    endpoint->slowdown_shared_at = now;
    slowdowns.push_back({endpoint->record.id, endpoint->shared_slowdown});
  }
  return slowdowns;
}

void EndpointPool::MergeSlowdowns(const std::vector<EndpointSlowdown>& slowdowns,
                                  MonotonicTime now) {
  for (const EndpointSlowdown& reported : slowdowns) {
    const auto found = endpoints_.find(reported.endpoint);
    if (found != endpoints_.end()) found->second.pace.Merge(reported.slowdown, now);
  }
}

SlowdownQuantiles EndpointPool::Slowdowns(MonotonicTime now) const {
  std::vector<Slowdown> slowdowns;
  slowdowns.reserve(endpoints_.size());
  for (const auto& [id, endpoint] : endpoints_) slowdowns.push_back(endpoint.pace.At(now));
  return QuantilesOf(std::move(slowdowns));
}

double EndpointPool::MeanPending(const ServiceId& service, MonotonicTime now) const {
  double total = 0;
  std::size_t count = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.record.service != service || endpoint.record.draining) continue;
    total += TotalPending(endpoint, now);
    ++count;
  }
  return count == 0 ? 0 : total / static_cast<double>(count);
}

const std::map<VersionId, std::size_t>& EndpointPool::VersionCounts(const ServiceId& service) {
  const auto known = version_counts_.find(service);
  if (known != version_counts_.end()) return known->second;
  std::map<VersionId, std::size_t>& versions = version_counts_[service];
  for (const auto& [id, endpoint] : endpoints_) {
    const EndpointRecord& record = endpoint.record;
    if (record.service == service && !record.draining) ++versions[record.version];
  }
  return versions;
}

std::vector<VersionId> EndpointPool::Versions(const ServiceId& service) {
  const std::map<VersionId, std::size_t>& counts = VersionCounts(service);
  std::vector<VersionId> versions;
  versions.reserve(counts.size());
  for (const auto& [version, count] : counts) versions.push_back(version);
  return versions;
}

std::uint64_t EndpointPool::OpenAtOtherVersions(const ServiceId& service,
                                                const VersionId& target) const {
  std::uint64_t open = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    const EndpointRecord& record = endpoint.record;
    if (record.service == service && record.version != target) open += endpoint.in_flight;
  }
  return open;
}

const PooledEndpoint* EndpointPool::Find(const EndpointId& id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

}  // namespace bamboodock
