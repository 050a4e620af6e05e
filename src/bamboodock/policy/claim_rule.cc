#include "bamboodock/policy/claim_rule.h"

#include <utility>

namespace bamboodock {

ClaimRule::ClaimRule(ClaimRow mine) : mine_(std::move(mine)) {}

// Modelled in model/attempt.pml, process Sidecar, label make_claim.
void ClaimRule::OnRow(const std::optional<ClaimRow>& row) {
  if (step_ != ClaimStep::kReadRow && step_ != ClaimStep::kReadBack) return;
  if (row && row->call != mine_.call) return Refuse(ResultCode::kKeyReused);
  if (row && row->state == ClaimState::kFinished) {
    stored_ = *row;
    step_ = ClaimStep::kAnswerStored;
    return;
  }
  if (row && row->state == ClaimState::kStarted) {
    // A row of this attempt proves its right to run only if this rule wrote it. After a restart
    // the earlier incarnation may have run the call.
    if (write_sent_ && IsMine(*row)) {
      step_ = ClaimStep::kRun;
    } else {
      step_ = ClaimStep::kAnswerUnknown;
      code_ = ResultCode::kOutcomeUnknown;
    }
    return;
  }
  // The write of this attempt may still arrive, so it must not be sent a second time.
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
      // Another attempt wrote the row; its state decides.
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

bool ClaimRule::IsMine(const ClaimRow& row) const {
  return row.attempt == mine_.attempt && row.owner == mine_.owner;
}

}  // namespace bamboodock
