#include "bamboodock/policy/publication_rule.h"

#include <algorithm>
#include <utility>

namespace bamboodock {

PublicationRule::PublicationRule(PublicationId id, std::vector<HostId> witnesses)
    : id_(std::move(id)), witnesses_(std::move(witnesses)) {}

void PublicationRule::OnPublication(const std::optional<AcceptedPublication>& row) {
  if (step_ != PublicationStep::kReadPublication) return;
  if (row) {
    accepted_ = row->epoch;
    step_ = PublicationStep::kAccepted;
    return;
  }
  step_ = PublicationStep::kReadHead;
}

void PublicationRule::OnHead(const AcceptedPublication& head, std::optional<Epoch> expected) {
  if (step_ != PublicationStep::kReadHead) return;
  base_ = head.epoch;
  if (expected && *expected != head.epoch) {
    winner_ = head.id;
    step_ = PublicationStep::kConflict;
    return;
  }
  step_ = PublicationStep::kPutObject;
}

void PublicationRule::OnObjectPut() {
  if (step_ == PublicationStep::kPutObject) step_ = PublicationStep::kPrepare;
}

// Modelled in model/publication.pml, process Publisher, labels prepare and confirm.
void PublicationRule::OnPrepareAnswer(const HostId& witness, const IncarnationId& incarnation,
                                      bool acknowledged) {
  const bool known = std::find(witnesses_.begin(), witnesses_.end(), witness) != witnesses_.end();
  if (!known || !acknowledged) return;
  if (step_ == PublicationStep::kPrepare) {
    prepared_[witness] = incarnation;
    return;
  }
  if (step_ != PublicationStep::kConfirmPrepare) return;
  const auto it = prepared_.find(witness);
  if (it != prepared_.end() && it->second == incarnation) confirmed_[witness] = incarnation;
  if (confirmed_.size() >= Majority()) step_ = PublicationStep::kCommit;
}

void PublicationRule::OnPrepareEnd() {
  if (step_ == PublicationStep::kPrepare) {
    if (prepared_.size() < Majority()) return Fail(ResultCode::kWitnessesUnreachable);
    step_ = PublicationStep::kConfirmPrepare;
  } else if (step_ == PublicationStep::kConfirmPrepare) {
    Fail(ResultCode::kWitnessesUnreachable);
  }
}

void PublicationRule::OnCommit(CommitOutcome outcome) {
  if (step_ != PublicationStep::kCommit) return;
  switch (outcome) {
    case CommitOutcome::kCommitted:
      accepted_ = next();
      step_ = PublicationStep::kAccepted;
      break;
    case CommitOutcome::kNotSent:
      if (!answer_lost_) return Fail(ResultCode::kStoreUnavailable);
      step_ = PublicationStep::kReadBack;
      break;
    case CommitOutcome::kConflict:
      // The head may have been moved by an earlier commit of this id, for example of a run that
      // died.
      step_ = PublicationStep::kReadBack;
      break;
    case CommitOutcome::kAnswerLost:
      answer_lost_ = true;
      step_ = PublicationStep::kReadBack;
      break;
  }
}

void PublicationRule::OnReadBack(const std::optional<AcceptedPublication>& row,
                                 const AcceptedPublication& head) {
  if (step_ != PublicationStep::kReadBack) return;
  if (row) {
    accepted_ = row->epoch;
    step_ = PublicationStep::kAccepted;
  } else if (head.epoch > base_) {
    winner_ = head.id;
    step_ = PublicationStep::kConflict;
  } else {
    // The transaction may still arrive. It is conditional on the head and on the absence of the
    // publication row, so it cannot take effect twice when it is sent again.
    step_ = PublicationStep::kCommit;
  }
}

void PublicationRule::OnStoreUnavailable() {
  if (answer_lost_) {
    step_ = PublicationStep::kUnknown;
    failure_ = ResultCode::kStoreAnswerLost;
    return;
  }
  Fail(ResultCode::kStoreUnavailable);
}

void PublicationRule::Fail(ResultCode code) {
  failure_ = code;
  step_ = PublicationStep::kFailed;
}

}  // namespace bamboodock
