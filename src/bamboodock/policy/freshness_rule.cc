#include "bamboodock/policy/freshness_rule.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace bamboodock {

FreshnessRule::FreshnessRule(Duration limit, std::vector<HostId> witnesses)
    : limit_(limit), witnesses_(std::move(witnesses)) {}

void FreshnessRule::Confirm(Epoch epoch, MonotonicTime confirmed_at,
                            const std::vector<PublicationId>& pending) {
  highest_ = std::max(highest_, epoch);
  if (!HoldsAll(pending)) return;
  if (!confirmation_ || epoch > confirmation_->epoch) {
    confirmation_ = Evidence{epoch, confirmed_at};
  } else if (epoch == confirmation_->epoch) {
    confirmation_->at = std::max(confirmation_->at, confirmed_at);
  }
}

// Modelled in model/publication.pml, process Server.
void FreshnessRule::Attest(const HostId& witness, Epoch epoch, MonotonicTime asked_at,
                           const std::vector<PublicationId>& pending) {
  if (std::find(witnesses_.begin(), witnesses_.end(), witness) == witnesses_.end()) return;
  highest_ = std::max(highest_, epoch);
  if (!HoldsAll(pending)) return;
  const auto [it, added] = attestations_.try_emplace(witness, Evidence{epoch, asked_at});
  if (added) return;
  Evidence& known = it->second;
  if (epoch > known.epoch) {
    known = Evidence{epoch, asked_at};
  } else if (epoch == known.epoch) {
    known.at = std::max(known.at, asked_at);
  }
}

void FreshnessRule::Install(Epoch epoch) {
  epoch_ = std::max(epoch_, epoch);
  highest_ = std::max(highest_, epoch_);
}

void FreshnessRule::Hold(const PublicationId& publication) { held_.insert(publication); }

void FreshnessRule::Release(const PublicationId& publication) { held_.erase(publication); }

FreshnessVerdict FreshnessRule::Judge(MonotonicTime now) const {
  if (highest_ > epoch_) return FreshnessVerdict::kBehind;
  const auto within = [&](std::optional<MonotonicTime> at) { return at && now - *at < limit_; };
  if (within(ConfirmedAt())) return FreshnessVerdict::kFresh;
  if (within(AttestedAt())) return FreshnessVerdict::kFreshByWitnesses;
  return FreshnessVerdict::kNotFresh;
}

Duration FreshnessRule::Age(MonotonicTime now) const {
  Duration age = Duration::max();
  for (const auto& at : {ConfirmedAt(), AttestedAt()}) {
    if (at) age = std::min(age, now - *at);
  }
  return age;
}

bool FreshnessRule::HoldsAll(const std::vector<PublicationId>& pending) const {
  return std::all_of(pending.begin(), pending.end(),
                     [this](const PublicationId& id) { return held_.contains(id); });
}

std::optional<MonotonicTime> FreshnessRule::ConfirmedAt() const {
  if (!confirmation_ || confirmation_->epoch != epoch_) return std::nullopt;
  return confirmation_->at;
}

std::optional<MonotonicTime> FreshnessRule::AttestedAt() const {
  std::vector<MonotonicTime> times;
  for (const auto& [witness, evidence] : attestations_) {
    if (evidence.epoch == epoch_) times.push_back(evidence.at);
  }
  const std::size_t majority = witnesses_.size() / 2 + 1;
  if (witnesses_.empty() || times.size() < majority) return std::nullopt;
  // The oldest attestation of the most recent majority determines the age of the majority.
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[majority - 1];
}

}  // namespace bamboodock
