#include "bamboodock/policy/prompt_quarantine.h"

#include <algorithm>
#include <utility>

namespace bamboodock {
namespace {

/// Crashes closer together than this count as one.
constexpr std::chrono::milliseconds kCrashSpacing{100};
/// Crashes of different endpoints within this time have a common cause; entries see the same crash
/// a few milliseconds apart.
constexpr std::chrono::milliseconds kSameMoment{50};
/// An endpoint that writes answers between these times after a loss has not crashed: answers that
/// were on the way arrive before, and a restarted endpoint answers later.
constexpr std::chrono::milliseconds kMinSignOfLife{100};
constexpr std::chrono::milliseconds kMaxSignOfLife{1000};
/// Losses at one endpoint within this time belong to one crash.
constexpr std::chrono::seconds kCrashDuration{1};
/// A part is not blamed while a more specific one occurs in this many tenths of its crashes and in
/// no others. The remaining ones may be losses beside a crash whose cause is not known yet.
constexpr std::uint32_t kSpecificTenths = 6;
/// Crashes by which another part must exceed one that is in quarantine, to replace it.
constexpr std::int64_t kIncumbentBonus = 2;
/// An endpoint may crash this long after an attempt with a deadly part was cancelled there.
constexpr std::chrono::milliseconds kAbandonedWindow{500};
constexpr std::size_t kMaxAbandoned = 256;
/// Losses further apart than this are an earlier spell and a probe that crashed.
constexpr std::chrono::seconds kProbeGap{20};
/// Evidence without a change is evaluated again after this time.
constexpr std::chrono::milliseconds kEvaluationInterval{250};
/// That a part has survived is reported for this long after an entry has suspected it.
constexpr std::chrono::seconds kContestTime{5};

bool IsSame(const LostAnswer& a, const LostAnswer& b) {
  return a.endpoint == b.endpoint && a.request == b.request;
}

bool IsEarlier(const LostAnswer& a, const LostAnswer& b) { return a.at < b.at; }

}  // namespace

bool PromptQuarantine::AddLoss(PromptPartHash part, std::uint32_t position,
                               const LostAnswer& loss) {
  const std::optional<MonotonicTime> survived = survivors_.Find(part);
  if (survived && loss.at <= *survived) return false;
  Suspect& suspect = suspects_[part];
  suspect.position = position;
  auto& losses = suspect.losses;
  const bool known = std::any_of(losses.begin(), losses.end(),
                                 [&](const LostAnswer& other) { return IsSame(loss, other); });
  const bool full = losses.size() >= kMaxLossesPerPart;
  if (known || (full && loss.at < losses.front().at)) return false;
  losses.insert(std::upper_bound(losses.begin(), losses.end(), loss, IsEarlier), loss);
  if (full) losses.erase(losses.begin());
  ++revision_;
  return true;
}

void PromptQuarantine::AddAbandoned(const LostAnswer& loss) {
  for (const Abandoned& abandoned : abandoned_) {
    const bool at_endpoint = abandoned.attempt.endpoint == loss.endpoint;
    if (!at_endpoint || loss.at < abandoned.at || loss.at - abandoned.at > kAbandonedWindow) {
      continue;
    }
    std::uint32_t position = 0;
    for (const PromptPartHash part : abandoned.attempt.parts) {
      AddLoss(part, position++, {loss.endpoint, abandoned.attempt.request, loss.at});
    }
  }
}

void PromptQuarantine::AddCrash(const LostAnswer& loss) {
  const bool known = std::any_of(crashes_.begin(), crashes_.end(), [&](const LostAnswer& other) {
    const Duration apart = loss.at > other.at ? loss.at - other.at : other.at - loss.at;
    return other.endpoint == loss.endpoint && apart < kCrashDuration;
  });
  if (known) return;
  crashes_.insert(std::upper_bound(crashes_.begin(), crashes_.end(), loss, IsEarlier), loss);
  if (crashes_.size() > kMaxCrashes) crashes_.pop_front();
}

void PromptQuarantine::OnLost(const PromptAttempt& attempt, MonotonicTime now) {
  const LostAnswer loss{attempt.endpoint, attempt.request, now};
  AddCrash(loss);
  std::uint32_t position = 0;
  for (const PromptPartHash part : attempt.parts) AddLoss(part, position++, loss);
  AddAbandoned(loss);
  EvictSuspects();
}

void PromptQuarantine::OnAbandoned(PromptAttempt attempt, MonotonicTime now) {
  while (!abandoned_.empty() && now - abandoned_.front().at > kAbandonedWindow) {
    abandoned_.pop_front();
  }
  if (abandoned_.size() >= kMaxAbandoned) abandoned_.pop_front();
  abandoned_.push_back({std::move(attempt), now});
}

void PromptQuarantine::RemoveLosses(EndpointLifetimeHash endpoint, MonotonicTime now) {
  const auto is_refuted = [&](const LostAnswer& loss) {
    return loss.endpoint == endpoint && loss.at + kMinSignOfLife < now &&
           now < loss.at + kMaxSignOfLife;
  };
  if (std::erase_if(crashes_, is_refuted) == 0) return;
  refuted_.Set(endpoint, now - kMinSignOfLife);
  for (auto& [part, suspect] : suspects_) std::erase_if(suspect.losses, is_refuted);
  ++revision_;
}

bool PromptQuarantine::IsRefuted(const LostAnswer& loss) const {
  const std::optional<MonotonicTime> refuted = refuted_.Find(loss.endpoint);
  return refuted && loss.at <= *refuted;
}

void PromptQuarantine::OnSurvived(const PromptAttempt& attempt, MonotonicTime now) {
  RemoveLosses(attempt.endpoint, now);
  for (const PromptPartHash part : attempt.parts) {
    survivors_.Set(part, now);
    const auto suspect = suspects_.find(part);
    if (suspect == suspects_.end()) continue;
    if (quarantined_.contains(part)) suspect->second.contested_at = now;
    ++revision_;
  }
}

void PromptQuarantine::Merge(const std::vector<PromptPartEvidence>& evidence, MonotonicTime now) {
  for (const PromptPartEvidence& part : evidence) {
    if (part.survived_at) {
      survivors_.Set(part.part, std::min(*part.survived_at, now));
      if (suspects_.contains(part.part)) ++revision_;
    }
    const std::optional<MonotonicTime> survived = survivors_.Find(part.part);
    for (const LostAnswer& loss : part.losses) {
      if (now - loss.at > kEvidenceLifetime || IsRefuted(loss)) continue;
      AddCrash(loss);
      if (AddLoss(part.part, part.position, loss)) AddAbandoned(loss);
    }
    const bool contested = survived && !part.losses.empty() && part.losses.back().at <= *survived &&
                           (!part.survived_at || *part.survived_at < part.losses.back().at);
    if (contested) suspects_[part.part].contested_at = now;
  }
  EvictSuspects();
}

void PromptQuarantine::EvictSuspects() {
  while (suspects_.size() > kMaxSuspects) {
    const auto last_at = [](const auto& entry) {
      const Suspect& suspect = entry.second;
      return suspect.losses.empty() ? suspect.contested_at : suspect.losses.back().at;
    };
    auto oldest = suspects_.end();
    for (auto it = suspects_.begin(); it != suspects_.end(); ++it) {
      if (quarantined_.contains(it->first)) continue;
      if (oldest == suspects_.end() || last_at(*it) < last_at(*oldest)) oldest = it;
    }
    if (oldest == suspects_.end()) return;
    suspects_.erase(oldest);
  }
}

void PromptQuarantine::Expire(MonotonicTime now) {
  for (auto& [part, suspect] : suspects_) {
    const std::optional<MonotonicTime> survived = survivors_.Find(part);
    if (!survived) continue;
    std::erase_if(suspect.losses, [&](const LostAnswer& loss) { return loss.at <= *survived; });
  }
  std::erase_if(suspects_, [&](const auto& entry) {
    const Suspect& suspect = entry.second;
    const bool expired =
        suspect.losses.empty() || now - suspect.losses.back().at > kEvidenceLifetime;
    return expired && now - suspect.contested_at > kContestTime;
  });
}

bool PromptQuarantine::HasCommonCause(MonotonicTime at, const std::set<EndpointLifetimeHash>& own,
                                      const std::set<EndpointLifetimeHash>& explained) const {
  return std::any_of(crashes_.begin(), crashes_.end(), [&](const LostAnswer& crash) {
    const Duration apart = at > crash.at ? at - crash.at : crash.at - at;
    return apart < kSameMoment && !own.contains(crash.endpoint) &&
           !explained.contains(crash.endpoint);
  });
}

PromptQuarantine::Tally PromptQuarantine::Count(
    PromptPartHash part, const Suspect& suspect,
    const std::set<EndpointLifetimeHash>& explained) const {
  const std::optional<MonotonicTime> survived = survivors_.Find(part);
  const auto counts = [&](const LostAnswer& loss) {
    return (!survived || loss.at > *survived) && !explained.contains(loss.endpoint);
  };
  Tally tally;
  tally.part = part;
  tally.position = suspect.position;
  for (const LostAnswer& loss : suspect.losses) {
    if (counts(loss)) tally.endpoints.insert(loss.endpoint);
  }
  std::set<RequestHash> requests;
  std::set<EndpointLifetimeHash> counted;
  for (const LostAnswer& loss : suspect.losses) {
    if (!counts(loss)) continue;
    requests.insert(loss.request);
    if (!counted.insert(loss.endpoint).second) continue;
    if (tally.crashes > 0 && loss.at - tally.last_at < kCrashSpacing) continue;
    if (HasCommonCause(loss.at, tally.endpoints, explained)) continue;
    if (tally.crashes == 0) tally.first_at = loss.at;
    tally.last_at = loss.at;
    ++tally.crashes;
  }
  tally.requests = requests.size();
  return tally;
}

std::uint32_t PromptQuarantine::CountOthers(const Tally& tally,
                                            const std::set<EndpointLifetimeHash>& explained) const {
  std::uint32_t others = 0;
  MonotonicTime counted{};
  for (const LostAnswer& crash : crashes_) {
    if (crash.at < tally.first_at || crash.at > tally.last_at) continue;
    if (tally.endpoints.contains(crash.endpoint) || explained.contains(crash.endpoint)) continue;
    if (others > 0 && crash.at - counted < kCrashSpacing) continue;
    ++others;
    counted = crash.at;
  }
  return others;
}

std::int64_t PromptQuarantine::Surplus(const Tally& tally,
                                       const std::set<EndpointLifetimeHash>& explained,
                                       MonotonicTime now) const {
  constexpr std::int64_t kNever = -1;
  if (tally.crashes < kMinCrashes || tally.requests < kMinRequests) return kNever;
  std::uint32_t needed = kMinCrashes + CountOthers(tally, explained) / kOtherCrashesPerCrash;
  const std::optional<MonotonicTime> survived = survivors_.Find(tally.part);
  if (survived && now - *survived < kMinTimeSinceSurvival) return kNever;
  if (survived) needed += kExtraCrashesIfProven;
  return std::int64_t{tally.crashes} - needed;
}

bool PromptQuarantine::IsDominated(const Tally& tally, const std::vector<Tally>& others) {
  return std::any_of(others.begin(), others.end(), [&](const Tally& other) {
    return other.position > tally.position &&
           other.endpoints.size() * 10 >= tally.endpoints.size() * kSpecificTenths &&
           std::includes(tally.endpoints.begin(), tally.endpoints.end(), other.endpoints.begin(),
                         other.endpoints.end());
  });
}

std::optional<PromptQuarantine::Tally> PromptQuarantine::FindCulprit(
    const std::set<EndpointLifetimeHash>& explained, MonotonicTime now) const {
  std::vector<Tally> tallies;
  for (const auto& [part, suspect] : suspects_) {
    // Most suspects occur in one loss, and neither are nor dominate a culprit.
    if (suspect.losses.size() > 1) tallies.push_back(Count(part, suspect, explained));
  }
  const Tally* culprit = nullptr;
  std::int64_t highest = -1;
  for (const Tally& tally : tallies) {
    const std::int64_t surplus = Surplus(tally, explained, now);
    if (surplus < 0 || IsDominated(tally, tallies)) continue;
    const std::int64_t rank = surplus + (quarantined_.contains(tally.part) ? kIncumbentBonus : 0);
    if (rank <= highest) continue;
    highest = rank;
    culprit = &tally;
  }
  if (culprit == nullptr) return std::nullopt;
  return *culprit;
}

void PromptQuarantine::Evaluate(MonotonicTime now) {
  if (evaluated_revision_ == revision_ && now - evaluated_at_ < kEvaluationInterval) return;
  Expire(now);
  evaluated_revision_ = revision_;
  evaluated_at_ = now;
  std::map<PromptPartHash, std::uint32_t> found;
  std::set<EndpointLifetimeHash> explained;
  while (const std::optional<Tally> culprit = FindCulprit(explained, now)) {
    found.emplace(culprit->part, culprit->crashes);
    explained.insert(culprit->endpoints.begin(), culprit->endpoints.end());
  }
  quarantined_ = std::move(found);
}

const std::map<PromptPartHash, std::uint32_t>& PromptQuarantine::Quarantined(MonotonicTime now) {
  Evaluate(now);
  return quarantined_;
}

MonotonicTime PromptQuarantine::ProbeTime(const Suspect& suspect) {
  Duration delay = kProbeDelay;
  for (std::size_t i = 1; i < suspect.losses.size(); ++i) {
    const bool after_gap = suspect.losses[i].at - suspect.losses[i - 1].at > kProbeGap;
    if (after_gap) delay = std::min<Duration>(2 * delay, kMaxProbeDelay);
  }
  return suspect.losses.back().at + delay;
}

PromptDecision PromptQuarantine::Decide(const std::vector<PromptPartHash>& parts,
                                        std::uint32_t rank, MonotonicTime now) {
  Evaluate(now);
  PromptDecision decision;
  if (quarantined_.empty()) return decision;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const auto found = quarantined_.find(parts[i]);
    if (found == quarantined_.end()) continue;
    Suspect& suspect = suspects_.at(parts[i]);
    const MonotonicTime probe = std::max<MonotonicTime>(ProbeTime(suspect) + rank * kProbeStagger,
                                                        suspect.probed_at + kProbeGap);
    decision = {PromptVerdict::kRefuse, i, found->second, probe - now};
    if (now < probe) return decision;
    decision = {PromptVerdict::kProbe, i, found->second, Duration::zero()};
  }
  if (decision.verdict != PromptVerdict::kProbe) return decision;
  for (const PromptPartHash part : parts) {
    const auto suspect = suspects_.find(part);
    if (suspect != suspects_.end()) suspect->second.probed_at = now;
  }
  return decision;
}

PromptPartEvidence PromptQuarantine::MakeEvidence(PromptPartHash part,
                                                  const Suspect& suspect) const {
  PromptPartEvidence evidence{part, suspect.position, survivors_.Find(part), {}};
  // The newest loss at each endpoint, since losses at one endpoint count once.
  std::set<EndpointLifetimeHash> endpoints;
  for (auto loss = suspect.losses.rbegin(); loss != suspect.losses.rend(); ++loss) {
    if (evidence.losses.size() >= kMaxReportedLosses) break;
    if (endpoints.insert(loss->endpoint).second) evidence.losses.push_back(*loss);
  }
  std::reverse(evidence.losses.begin(), evidence.losses.end());
  return evidence;
}

std::vector<PromptPartEvidence> PromptQuarantine::Report(MonotonicTime now) {
  Evaluate(now);
  std::vector<std::pair<std::uint32_t, PromptPartHash>> suspects;
  std::vector<std::pair<MonotonicTime, PromptPartHash>> cleared;
  for (const auto& [part, suspect] : suspects_) {
    const Tally tally = Count(part, suspect, {});
    if (tally.crashes > 0) {
      const std::uint32_t first = quarantined_.contains(part) ? kMaxLossesPerPart : 0;
      suspects.emplace_back(first + tally.crashes, part);
    } else if (now - suspect.contested_at <= kContestTime) {
      cleared.emplace_back(suspect.contested_at, part);
    }
  }
  std::sort(suspects.rbegin(), suspects.rend());
  std::sort(cleared.rbegin(), cleared.rend());
  if (suspects.size() > kMaxReportedSuspects) suspects.resize(kMaxReportedSuspects);
  if (cleared.size() > kMaxReportedCleared) cleared.resize(kMaxReportedCleared);
  std::vector<PromptPartEvidence> report;
  report.reserve(suspects.size() + cleared.size());
  for (const auto& [weight, part] : suspects) {
    report.push_back(MakeEvidence(part, suspects_.at(part)));
  }
  for (const auto& [at, part] : cleared) report.push_back(MakeEvidence(part, suspects_.at(part)));
  return report;
}

}  // namespace bamboodock
