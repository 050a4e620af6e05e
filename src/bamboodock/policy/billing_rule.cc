#include "bamboodock/policy/billing_rule.h"

namespace bamboodock {

// Modelled in model/billing.pml, processes Entry and Sidecar.
MonotonicTime BillingRule::WriteAt(BillingHolder holder, MonotonicTime received) const {
  return holder == BillingHolder::kEntry ? received : received + settle_timeout_;
}

// Modelled in model/billing.pml, inline WriteRecord.
BillingRowAction BillingRule::OnRow(const std::optional<BillingRecord>& stored,
                                    const BillingRecord& own) {
  return stored && stored->step >= own.step ? BillingRowAction::kConfirmed
                                            : BillingRowAction::kWrite;
}

BillingNextAction BillingRule::OnWrite(BillingWriteOutcome outcome) {
  switch (outcome) {
    case BillingWriteOutcome::kWritten:
      return BillingNextAction::kConfirmed;
    case BillingWriteOutcome::kNotSent:
      return BillingNextAction::kWait;
    case BillingWriteOutcome::kConflict:
    case BillingWriteOutcome::kAnswerLost:
      break;
  }
  return BillingNextAction::kReadAgain;
}

}  // namespace bamboodock
