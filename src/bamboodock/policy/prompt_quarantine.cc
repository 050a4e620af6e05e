#include "bamboodock/policy/prompt_quarantine.h"

#include <algorithm>
#include <utility>

namespace bamboodock {
namespace {

/// Crashes closer together than this count as one.
constexpr std::chrono::milliseconds kCrashSpacing{100};
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

}  // namespace

std::optional<MonotonicTime> PromptQuarantine::SurvivedAt(PromptPartHash part) const {
  for (const auto* generation : {&survivors_, &old_survivors_}) {
    const auto found = generation->find(part);
    if (found != generation->end()) return found->second;
  }
  return std::nullopt;
}

void PromptQuarantine::SetSurvived(PromptPartHash part, MonotonicTime at) {
  const std::optional<MonotonicTime> known = SurvivedAt(part);
  survivors_.insert_or_assign(part, known ? std::max(*known, at) : at);
  if (survivors_.size() * 2 < kMaxSurvivors) return;
  old_survivors_ = std::move(survivors_);
  survivors_.clear();
}

bool PromptQuarantine::AddLoss(PromptPartHash part, std::uint32_t position,
                               const LostAnswer& loss) {
  const std::optional<MonotonicTime> survived = SurvivedAt(part);
  if (survived && loss.at <= *survived) return false;
  Suspect& suspect = suspects_[part];
  suspect.position = position;
  auto& losses = suspect.losses;
  const bool known = std::any_of(losses.begin(), losses.end(),
                                 [&](const LostAnswer& other) { return IsSame(loss, other); });
  const bool full = losses.size() >= kMaxLossesPerPart;
  if (known || (full && loss.at < losses.front().at)) return false;
  const auto later =
      std::upper_bound(losses.begin(), losses.end(), loss,
                       [](const LostAnswer& a, const LostAnswer& b) { return a.at < b.at; });
  losses.insert(later, loss);
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
  const bool known = std::any_of(crashed_.begin(), crashed_.end(), [&](const LostAnswer& other) {
    return other.endpoint == loss.endpoint;
  });
  if (known) return;
  const auto later =
      std::upper_bound(crashed_.begin(), crashed_.end(), loss,
                       [](const LostAnswer& a, const LostAnswer& b) { return a.at < b.at; });
  crashed_.insert(later, loss);
  if (crashed_.size() > kMaxCrashedEndpoints) crashed_.pop_front();
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

void PromptQuarantine::OnSurvived(const std::vector<PromptPartHash>& parts, MonotonicTime now) {
  for (const PromptPartHash part : parts) {
    SetSurvived(part, now);
    const auto suspect = suspects_.find(part);
    if (suspect == suspects_.end()) continue;
    if (quarantined_.contains(part)) suspect->second.contested_at = now;
    ++revision_;
  }
}

void PromptQuarantine::Merge(const std::vector<PromptPartEvidence>& evidence, MonotonicTime now) {
  for (const PromptPartEvidence& part : evidence) {
    if (part.survived_at) {
      SetSurvived(part.part, std::min(*part.survived_at, now));
      if (suspects_.contains(part.part)) ++revision_;
    }
    const std::optional<MonotonicTime> survived = SurvivedAt(part.part);
    for (const LostAnswer& loss : part.losses) {
      if (now - loss.at > kEvidenceLifetime) continue;
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
    const std::optional<MonotonicTime> survived = SurvivedAt(part);
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

PromptQuarantine::Tally PromptQuarantine::Count(
    PromptPartHash part, const Suspect& suspect,
    const std::set<EndpointLifetimeHash>& explained) const {
  const std::optional<MonotonicTime> survived = SurvivedAt(part);
  std::set<RequestHash> requests;
  Tally tally;
  MonotonicTime counted{};
  for (const LostAnswer& loss : suspect.losses) {
    if ((survived && loss.at <= *survived) || explained.contains(loss.endpoint)) continue;
    requests.insert(loss.request);
    if (!tally.endpoints.insert(loss.endpoint).second) continue;
    if (tally.crashes == 0) tally.first_at = loss.at;
    tally.last_at = loss.at;
    if (tally.crashes > 0 && loss.at - counted < kCrashSpacing) continue;
    ++tally.crashes;
    counted = loss.at;
  }
  tally.requests = requests.size();
  return tally;
}

std::uint32_t PromptQuarantine::CountOthers(const Tally& tally,
                                            const std::set<EndpointLifetimeHash>& explained) const {
  std::uint32_t others = 0;
  MonotonicTime counted{};
  for (const LostAnswer& crash : crashed_) {
    if (crash.at < tally.first_at || crash.at > tally.last_at) continue;
    if (tally.endpoints.contains(crash.endpoint) || explained.contains(crash.endpoint)) continue;
    if (others > 0 && crash.at - counted < kCrashSpacing) continue;
    ++others;
    counted = crash.at;
  }
  return others;
}

std::int64_t PromptQuarantine::Surplus(PromptPartHash part, const Tally& tally,
                                       const std::set<EndpointLifetimeHash>& explained,
                                       MonotonicTime now) const {
  constexpr std::int64_t kNever = -1;
  if (tally.crashes < kMinCrashes || tally.requests < kMinRequests) return kNever;
  std::uint32_t needed = kMinCrashes + CountOthers(tally, explained) / kOtherCrashesPerCrash;
  const std::optional<MonotonicTime> survived = SurvivedAt(part);
  if (survived && now - *survived < kMinTimeSinceSurvival) return kNever;
  if (survived) needed += kExtraCrashesIfProven;
  return std::int64_t{tally.crashes} - needed;
}

void PromptQuarantine::Evaluate(MonotonicTime now) {
  if (evaluated_revision_ == revision_ && now - evaluated_at_ < kEvaluationInterval) return;
  Expire(now);
  evaluated_revision_ = revision_;
  evaluated_at_ = now;
  std::map<PromptPartHash, std::uint32_t> found;
  std::set<EndpointLifetimeHash> explained;
  while (true) {
    // Of several parts that explain as much, the most specific one is chosen.
    std::pair<std::int64_t, std::uint32_t> best_rank{-1, 0};
    auto best = suspects_.end();
    Tally best_tally;
    for (auto it = suspects_.begin(); it != suspects_.end(); ++it) {
      // Most suspects occur in few losses, and are skipped without counting.
      if (it->second.losses.size() < kMinCrashes || found.contains(it->first)) continue;
      Tally tally = Count(it->first, it->second, explained);
      const std::int64_t surplus = Surplus(it->first, tally, explained, now);
      const std::pair<std::int64_t, std::uint32_t> rank{surplus, it->second.position};
      if (surplus < 0 || rank <= best_rank) continue;
      best_rank = rank;
      best = it;
      best_tally = std::move(tally);
    }
    if (best == suspects_.end()) break;
    found.emplace(best->first, best_tally.crashes);
    explained.merge(best_tally.endpoints);
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
    if (suspect.losses[i].at - suspect.losses[i - 1].at > kProbeGap) delay *= 2;
  }
  return suspect.losses.back().at + std::min<Duration>(delay, kMaxProbeDelay);
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
  PromptPartEvidence evidence{part, suspect.position, SurvivedAt(part), {}};
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
  for (const auto& [weight, part] : suspects) {
    report.push_back(MakeEvidence(part, suspects_.at(part)));
  }
  for (const auto& [at, part] : cleared) report.push_back(MakeEvidence(part, suspects_.at(part)));
  return report;
}

}  // namespace bamboodock
