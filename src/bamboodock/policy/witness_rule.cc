#include "bamboodock/policy/witness_rule.h"

#include <algorithm>
#include <utility>

namespace bamboodock {

WitnessRule::WitnessRule(HostId self, std::vector<HostId> witnesses, std::size_t capacity)
    : self_(std::move(self)), witnesses_(std::move(witnesses)), capacity_(capacity) {}

// Modelled in model/publication.pml, inline Prepare.
bool WitnessRule::Acknowledge(const PublicationId& publication, Epoch next) {
  if (next <= epoch_) return false;
  return AddPending({publication, next});
}

void WitnessRule::Learn(Epoch epoch, const PublicationId& accepted) {
  epoch_ = std::max(epoch_, epoch);
  std::erase_if(pending_, [&](const PendingPublication& p) {
    return p.next <= epoch_ || (!accepted.empty() && p.id == accepted);
  });
}

void WitnessRule::LearnFromStore(Epoch epoch, const PublicationId& accepted) {
  if (!first_store_epoch_) first_store_epoch_ = epoch;
  Learn(epoch, accepted);
}

// Modelled in model/publication.pml, process Witness, branch "recover".
void WitnessRule::LearnFromWitness(const HostId& witness, bool complete, Epoch epoch,
                                   const std::vector<PendingPublication>& pending) {
  const bool known = std::find(witnesses_.begin(), witnesses_.end(), witness) != witnesses_.end();
  if (!known || witness == self_) return;
  Learn(epoch, PublicationId());
  for (const PendingPublication& publication : pending) {
    if (publication.next > epoch_ && !AddPending(publication)) {
      highest_dropped_ = std::max(highest_dropped_, publication.next);
    }
  }
  if (complete) complete_witnesses_.insert(witness);
  // A majority that includes this witness has at least majority - 1 others. Of the witnesses - 1
  // others at most witnesses - majority are outside it, so one more answer reaches a member.
  const std::size_t majority = witnesses_.size() / 2 + 1;
  if (complete_witnesses_.size() >= witnesses_.size() - majority + 1) recovered_ = true;
}

void WitnessRule::Drop(const PublicationId& publication) {
  std::erase_if(pending_, [&](const PendingPublication& p) { return p.id == publication; });
}

bool WitnessRule::complete() const {
  if (highest_dropped_ > epoch_) return false;
  return recovered_ || (first_store_epoch_ && epoch_ > *first_store_epoch_);
}

std::optional<Epoch> WitnessRule::Attestation(bool store_answers) const {
  if (!pending_.empty()) return std::nullopt;
  return AttestationWithPending(store_answers);
}

std::optional<Epoch> WitnessRule::AttestationWithPending(bool store_answers) const {
  if (store_answers || !complete()) return std::nullopt;
  return epoch_;
}

bool WitnessRule::AddPending(const PendingPublication& publication) {
  if (std::find(pending_.begin(), pending_.end(), publication) != pending_.end()) return true;
  if (pending_.size() >= capacity_) return false;
  pending_.push_back(publication);
  return true;
}

}  // namespace bamboodock
