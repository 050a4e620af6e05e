#include "bamboodock/policy/retry_budget.h"

#include <algorithm>

namespace bamboodock {

RetryBudget::RetryBudget(Ratio share, double reserve)
    : share_(share.value()), reserve_(std::max(1.0, reserve)), balance_(reserve_) {}

void RetryBudget::OnRequest() { balance_ = std::min(reserve_, balance_ + share_); }

bool RetryBudget::TryRetry() {
  // The tolerance covers the rounding error of summed shares: ten times 0.1 is below 1.
  constexpr double kTolerance = 1e-9;
  if (balance_ + kTolerance < 1) return false;
  balance_ = std::max(0.0, balance_ - 1);
  return true;
}

}  // namespace bamboodock
