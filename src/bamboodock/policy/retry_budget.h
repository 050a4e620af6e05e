#pragma once

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Bound on retries as a share of requests, so that a failure does not multiply the load.
class RetryBudget {
 public:
  /// @param share Retries earned by each request.
  /// @param reserve Retries available at the start, and the most that can be saved up.
  RetryBudget(Ratio share, double reserve);

  void OnRequest();
  /// Spends one retry; false when the budget is spent.
  bool TryRetry();

 private:
  double share_;
  double reserve_;
  double balance_;
};

}  // namespace bamboodock
