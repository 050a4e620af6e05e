#include "bamboodock/command/router/endpoint_pool.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace bamboodock {
namespace {

/// First pause after a failure to connect; doubles with each further one.
constexpr std::chrono::milliseconds kFirstAvoid{500};
constexpr std::chrono::milliseconds kLongestAvoid{4000};
/// Pause of an endpoint that fails clearly more often than the others of its version.
constexpr std::chrono::milliseconds kGreyAvoid{2500};
/// Registrations reach the store with a lag; a cold endpoint is treated as cold for so much longer.
constexpr std::chrono::milliseconds kRegistrationLag{1200};
/// Weight of one report halves in this time, since other entries' requests end meanwhile.
constexpr std::chrono::duration<double> kReportHalfLife{1.5};
/// A report of pending work is void after this time; reports come more often.
constexpr std::chrono::milliseconds kPendingLifetime{1000};
/// Prompt tokens of the dearest model that hold an engine up as long as another request does.
constexpr double kWorkPerRequest = 2000;
/// Load up to which an endpoint with the prompt's shared parts in its cache is preferred: so many
/// times the mean, and a request more for so many tokens that it need not read.
constexpr double kAffinityFactor = 1.15;
constexpr double kTokensPerSlack = 1500;
/// Score of an endpoint in another zone, in requests per slot.
constexpr double kOtherZone = 0.08;
/// Failures, by weight, before an endpoint is compared with the others.
constexpr double kLeastBad = 2.4;
/// Excess of an endpoint's share of failures over that of the others.
constexpr double kExcessShare = 0.25;
constexpr double kSlownessSmoothing = 0.2;
/// Largest ratio that one answer adds to the smoothed one.
constexpr double kLargestRatio = 10.0;
/// Ratio from which an endpoint counts as slow in the choice.
constexpr double kSlow = 2.0;

std::uint64_t RendezvousWeight(const EndpointId& id, std::uint64_t key) {
  return XXH3_64bits_withSeed(id.value().data(), id.value().size(), key);
}

bool CountsAsFailure(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kFailure || outcome == AttemptOutcome::kBroken ||
         outcome == AttemptOutcome::kSilent || outcome == AttemptOutcome::kRefused;
}

}  // namespace

EndpointPool::EndpointPool(HostId self, AvailabilityZoneId local_zone, double cold_overrun,
                           std::uint32_t cold_tolerance)
    : ranking_(std::move(self)),
      local_zone_(std::move(local_zone)),
      cold_overrun_(cold_overrun),
      cold_tolerance_(cold_tolerance) {}

void EndpointPool::SetOtherEntries(std::vector<HostId> others) {
  ranking_.SetOthers(std::move(others));
}

std::uint32_t EndpointPool::ColdShareOf(const PooledEndpoint& endpoint,
                                        const ColdBound& bound) const {
  if (!ranking_.known()) return 0;
  return ColdShare(bound, ranking_.size(), ranking_.Rank(endpoint.record.id));
}

void EndpointPool::Upsert(const EndpointRecord& record, Duration cold_time, MonotonicTime now) {
  versions_.clear();
  PooledEndpoint& endpoint = endpoints_[record.id];
  const bool same = endpoint.record.started == record.started &&
                    endpoint.record.address == record.address && !endpoint.record.id.empty();
  const bool restarted = !same && !endpoint.record.id.empty();
  if (restarted) {
    endpoint = PooledEndpoint();
    endpoint.cold_until = now + cold_time + kRegistrationLag;
  }
  endpoint.record = record;
  if (record.cold_remaining > Duration::zero()) {
    endpoint.cold_until =
        std::max(endpoint.cold_until, now + record.cold_remaining + kRegistrationLag);
  }
}

void EndpointPool::Remove(const EndpointId& id) {
  versions_.clear();
  endpoints_.erase(id);
}

void EndpointPool::AssumeCold(const AvailabilityZoneId& zone, Duration cold_time,
                              MonotonicTime now) {
  for (auto& [id, endpoint] : endpoints_) {
    if (endpoint.record.availability_zone != zone) continue;
    endpoint.cold_until = std::max(endpoint.cold_until, now + cold_time + kRegistrationLag);
  }
}

void EndpointPool::Evacuate(const AvailabilityZoneId& zone, bool evacuated) {
  evacuated_[zone] = evacuated;
}

bool EndpointPool::Usable(const PooledEndpoint& endpoint, const EndpointNeed& need) const {
  const EndpointRecord& record = endpoint.record;
  if (record.service != need.service->id || record.draining) return false;
  if (!need.allows_version(record.version)) return false;
  const auto zone = evacuated_.find(record.availability_zone);
  if (zone != evacuated_.end() && zone->second) return false;
  const auto& tried = *need.tried;
  return std::find(tried.begin(), tried.end(), record.id) == tried.end();
}

double EndpointPool::PendingOfAll(const PooledEndpoint& endpoint, MonotonicTime now) {
  double pending = static_cast<double>(endpoint.pending_work);
  for (const auto& [entry, report] : endpoint.pending_elsewhere) {
    if (now - report.second < kPendingLifetime) pending += static_cast<double>(report.first);
  }
  return pending;
}

double EndpointPool::Load(const PooledEndpoint& endpoint, MonotonicTime now) const {
  const std::chrono::duration<double> age = now - endpoint.reported;
  return endpoint.in_flight + endpoint.others * std::exp2(-age / kReportHalfLife) +
         PendingOfAll(endpoint, now) / kWorkPerRequest;
}

double EndpointPool::Score(PooledEndpoint& endpoint, MonotonicTime now) const {
  const double slots = std::max(1U, endpoint.record.slots.value());
  double score = (Load(endpoint, now) + 1) / slots;
  score *= std::max(1.0, endpoint.slowness / kSlow);
  if (endpoint.record.availability_zone != local_zone_) score += kOtherZone;
  score += endpoint.answers.bad(now) / slots;
  return score;
}

PooledEndpoint* EndpointPool::Preferred(const std::vector<PooledEndpoint*>& candidates,
                                        const EndpointNeed& need, MonotonicTime now) const {
  double total = 0;
  for (const PooledEndpoint* endpoint : candidates) total += Load(*endpoint, now);
  const double bound = kAffinityFactor * total / static_cast<double>(candidates.size()) +
                       static_cast<double>(need.shared.value()) / kTokensPerSlack;
  std::vector<std::pair<std::uint64_t, PooledEndpoint*>> ranked;
  ranked.reserve(candidates.size());
  for (PooledEndpoint* endpoint : candidates) {
    ranked.emplace_back(RendezvousWeight(endpoint->record.id, need.affinity), endpoint);
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  for (const auto& [weight, endpoint] : ranked) {
    if (Load(*endpoint, now) <= bound && endpoint->slowness < kSlow) return endpoint;
  }
  return nullptr;
}

void EndpointPool::Narrow(std::vector<PooledEndpoint*>& usable, const EndpointNeed& need) {
  if (need.spread.value() >= 1 || usable.size() < 2) return;
  const std::uint64_t key =
      XXH3_64bits(need.service->id.value().data(), need.service->id.value().size());
  std::sort(usable.begin(), usable.end(), [&](PooledEndpoint* a, PooledEndpoint* b) {
    return RendezvousWeight(a->record.id, key) > RendezvousWeight(b->record.id, key);
  });
  const double kept = std::round(need.spread.value() * static_cast<double>(usable.size()));
  usable.resize(static_cast<std::size_t>(std::max(1.0, kept)));
}

PooledEndpoint* EndpointPool::Choose(const EndpointNeed& need, Random& random, MonotonicTime now) {
  const ColdBound bound{need.service->cold_rate, cold_overrun_, cold_tolerance_};
  const bool limited = bound.rate.value() > 0;
  // Warm endpoints may turn cold unnoticed, so those below the usual cold share go first.
  const std::uint32_t usual = std::max(1U, ColdShare(bound, ranking_.size(), ranking_.size()));
  std::vector<PooledEndpoint*> usable;
  for (auto& [id, endpoint] : endpoints_) {
    if (Usable(endpoint, need)) usable.push_back(&endpoint);
  }
  Narrow(usable, need);
  std::vector<PooledEndpoint*> calm;
  std::vector<PooledEndpoint*> busy;
  std::vector<PooledEndpoint*> avoided;
  for (PooledEndpoint* endpoint : usable) {
    const bool cold = now < endpoint->cold_until;
    const std::uint32_t share = cold ? ColdShareOf(*endpoint, bound) : usual;
    const bool below = !limited || endpoint->arrivals.Count(now) < share;
    if (limited && cold && !below) continue;
    if (now < endpoint->avoid_until) {
      if (below) avoided.push_back(endpoint);
    } else {
      (below ? calm : busy).push_back(endpoint);
    }
  }
  std::vector<PooledEndpoint*>& candidates = !calm.empty() ? calm : !busy.empty() ? busy : avoided;
  if (candidates.empty()) return nullptr;
  if (need.affinity != 0) {
    if (PooledEndpoint* endpoint = Preferred(candidates, need, now)) return endpoint;
  }
  std::shuffle(candidates.begin(), candidates.end(), random);
  return *std::min_element(
      candidates.begin(), candidates.end(),
      [&](PooledEndpoint* a, PooledEndpoint* b) { return Score(*a, now) < Score(*b, now); });
}

void EndpointPool::OnSend(PooledEndpoint& endpoint, Tokens work, MonotonicTime now) {
  ++endpoint.in_flight;
  endpoint.pending_work += work.value();
  endpoint.arrivals.Add(now);
}

PooledEndpoint* EndpointPool::FindAlive(const EndpointId& id, StartTime started) {
  const auto found = endpoints_.find(id);
  const bool alive = found != endpoints_.end() && found->second.record.started == started;
  return alive ? &found->second : nullptr;
}

void EndpointPool::NoteLoad(PooledEndpoint& endpoint, const std::optional<ReportedLoad>& load,
                            MonotonicTime now) {
  if (!load) return;
  const double total = load->running.value() + load->waiting.value();
  endpoint.others = std::max(0.0, total - endpoint.in_flight);
  endpoint.reported = now;
}

void EndpointPool::OnHead(const HeadReport& report, MonotonicTime now) {
  PooledEndpoint* endpoint = FindAlive(report.endpoint, report.started);
  if (endpoint == nullptr) return;
  endpoint->pending_work -= std::min(endpoint->pending_work, report.work.value());
  NoteLoad(*endpoint, report.load, now);
}

void EndpointPool::JudgeHealth(PooledEndpoint& endpoint, MonotonicTime now) {
  const double bad = endpoint.answers.bad(now);
  if (bad < kLeastBad) return;
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
  const double own = bad / (bad + endpoint.answers.good(now));
  const double rest = others_bad / std::max(1.0, others_good + others_bad);
  if (own < rest + kExcessShare) return;
  endpoint.avoid_until = now + kGreyAvoid;
}

void EndpointPool::UpdateLatency(PooledEndpoint& endpoint, const AttemptReport& report,
                                 bool sets_usual) {
  const double ratio = times_.HeadRatio(report);
  endpoint.slowness += kSlownessSmoothing * (std::min(ratio, kLargestRatio) - endpoint.slowness);
  if (sets_usual) times_.Learn(report);
}

void EndpointPool::OnReport(const AttemptReport& report, Duration cold_time, bool sets_usual,
                            MonotonicTime now) {
  PooledEndpoint* const alive = FindAlive(report.endpoint, report.started);
  if (alive == nullptr) return;
  PooledEndpoint& endpoint = *alive;
  if (endpoint.in_flight > 0) --endpoint.in_flight;
  if (!report.head_latency) {
    endpoint.pending_work -= std::min(endpoint.pending_work, report.work.value());
  }
  if (report.head_latency && report.outcome == AttemptOutcome::kSuccess) {
    UpdateLatency(endpoint, report, sets_usual);
  }
  if (report.outcome == AttemptOutcome::kSuccess) {
    endpoint.failures_in_a_row = 0;
    endpoint.answers.Add(true, now);
  } else if (CountsAsFailure(report.outcome)) {
    endpoint.answers.Add(false, now);
    JudgeHealth(endpoint, now);
  } else if (report.outcome == AttemptOutcome::kUnreachable ||
             report.outcome == AttemptOutcome::kWrongEndpoint) {
    const auto pause = kFirstAvoid * (1U << std::min(endpoint.failures_in_a_row, 3U));
    ++endpoint.failures_in_a_row;
    endpoint.avoid_until = now + std::min<Duration>(pause, kLongestAvoid);
    // The endpoint may have crashed; it starts cold.
    endpoint.cold_until = std::max(endpoint.cold_until, endpoint.avoid_until + cold_time);
  }
}

void EndpointPool::ForgetPending(const IncarnationId& entry) {
  NotePending(entry, {}, {});
  named_.erase(entry);
}

void EndpointPool::NotePending(const IncarnationId& entry, const std::vector<PendingWork>& pending,
                               MonotonicTime now) {
  std::vector<EndpointId>& named = named_[entry];
  for (const EndpointId& id : named) {
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end()) found->second.pending_elsewhere.erase(entry);
  }
  named.clear();
  for (const PendingWork& work : pending) {
    const auto found = endpoints_.find(work.endpoint);
    if (found == endpoints_.end()) continue;
    found->second.pending_elsewhere[entry] = {work.work.value(), now};
    named.push_back(work.endpoint);
  }
}

std::vector<PendingWork> EndpointPool::Pending(std::size_t most) const {
  std::vector<PendingWork> pending;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.pending_work > 0) pending.push_back({id, Tokens(endpoint.pending_work)});
  }
  std::sort(pending.begin(), pending.end(),
            [](const auto& a, const auto& b) { return a.work > b.work; });
  if (pending.size() > most) pending.resize(most);
  return pending;
}

double EndpointPool::MeanPending(const ServiceId& service, MonotonicTime now) const {
  double total = 0;
  std::size_t count = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.record.service != service || endpoint.record.draining) continue;
    total += PendingOfAll(endpoint, now);
    ++count;
  }
  return count == 0 ? 0 : total / static_cast<double>(count);
}

bool EndpointPool::HasVersion(const ServiceId& service, const VersionId& version) const {
  return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& entry) {
    const EndpointRecord& record = entry.second.record;
    return record.service == service && record.version == version && !record.draining;
  });
}

const std::map<VersionId, std::size_t>& EndpointPool::Versions(const ServiceId& service) {
  const auto known = versions_.find(service);
  if (known != versions_.end()) return known->second;
  std::map<VersionId, std::size_t>& versions = versions_[service];
  for (const auto& [id, endpoint] : endpoints_) {
    const EndpointRecord& record = endpoint.record;
    if (record.service == service && !record.draining) ++versions[record.version];
  }
  return versions;
}

std::uint64_t EndpointPool::OpenAtOthers(const ServiceId& service, const VersionId& target) const {
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
