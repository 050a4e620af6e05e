#include "bamboodock/policy/billing_rule.h"

namespace bamboodock {

// Modelled in model/billing.pml, processes Entry and Sidecar.
MonotonicTime BillingRule::WriteAt(BillingHolder holder, MonotonicTime received) const {
  return holder == BillingHolder::kEntry ? received : received + settle_limit_;
}

// Modelled in model/billing.pml, inline WriteRecord.
BillingStep BillingRule::OnRow(const std::optional<BillingRecord>& stored,
                               const BillingRecord& own) {
  return stored && stored->step >= own.step ? BillingStep::kConfirmed : BillingStep::kWrite;
}

BillingWriteAction BillingRule::OnWrite(BillingWriteOutcome outcome) {
  switch (outcome) {
    case BillingWriteOutcome::kWritten:
      return BillingWriteAction::kConfirmed;
    case BillingWriteOutcome::kNotSent:
      return BillingWriteAction::kWait;
    case BillingWriteOutcome::kConflict:
    case BillingWriteOutcome::kAnswerLost:
      break;
  }
  return BillingWriteAction::kReadAgain;
}

}  // namespace bamboodock
