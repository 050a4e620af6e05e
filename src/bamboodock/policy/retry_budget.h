#pragma once

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Limits retries to a share of requests, so that a failure does not multiply the load.
class RetryBudget {
 public:
  /// @param share Retries added to the budget by each request.
  /// @param reserve Initial and maximum budget, in retries; at least 1.
  RetryBudget(Ratio share, double reserve);

  void OnRequest();
  /// Takes one retry from the budget; false when less than one is left.
  bool TryRetry();

 private:
  double share_;
  double reserve_;
  double balance_;
};

}  // namespace bamboodock
