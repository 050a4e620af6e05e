#include "bamboodock/policy/claim_rule.h"

#include <utility>

namespace bamboodock {

ClaimRule::ClaimRule(ClaimRow own_row) : own_row_(std::move(own_row)) {}

// Modelled in model/attempt.pml, process Sidecar, label make_claim.
void ClaimRule::OnRow(const std::optional<ClaimRow>& row) {
  if (step_ != ClaimStep::kReadRow && step_ != ClaimStep::kReadBack) return;
  if (row && row->call != own_row_.call) return Refuse(ResultCode::kKeyReused);
  if (row && row->state == ClaimState::kFinished) {
    stored_ = *row;
    step_ = ClaimStep::kAnswerStored;
    return;
  }
  if (row && row->state == ClaimState::kStarted) {
    // A row of this attempt permits the run only if this object wrote it. An earlier incarnation
    // may have written it before a restart and run the call.
    if (write_sent_ && IsOwn(*row)) {
      step_ = ClaimStep::kRun;
    } else {
      step_ = ClaimStep::kAnswerUnknown;
      code_ = ResultCode::kOutcomeUnknown;
    }
    return;
  }
  // The first write of this attempt may still arrive, so it must not be sent again.
  if (write_sent_) return Refuse(ResultCode::kStoreAnswerLost);
  step_ = ClaimStep::kWriteRow;
}

void ClaimRule::OnReadFailed() {
  if (step_ != ClaimStep::kReadRow && step_ != ClaimStep::kReadBack) return;
  Refuse(ResultCode::kClaimUnavailable);
}

void ClaimRule::OnWrite(ClaimWriteOutcome outcome) {
  if (step_ != ClaimStep::kWriteRow) return;
  switch (outcome) {
    case ClaimWriteOutcome::kWritten:
      step_ = ClaimStep::kRun;
      break;
    case ClaimWriteOutcome::kConflict:
      // Another attempt wrote the row; the state of that row decides.
      step_ = ClaimStep::kReadRow;
      break;
    case ClaimWriteOutcome::kNotSent:
      Refuse(ResultCode::kClaimUnavailable);
      break;
    case ClaimWriteOutcome::kAnswerLost:
      write_sent_ = true;
      step_ = ClaimStep::kReadBack;
      break;
  }
}

void ClaimRule::Refuse(ResultCode code) {
  code_ = code;
  release_later_ = write_sent_;
  step_ = ClaimStep::kRefuseNotRun;
}

bool ClaimRule::IsOwn(const ClaimRow& row) const {
  return row.attempt == own_row_.attempt && row.owner == own_row_.owner;
}

}  // namespace bamboodock
