#pragma once

#include "bamboodock/core/units.h"
#include "bamboodock/policy/random.h"

namespace bamboodock {

/// Exponential backoff with full jitter.
class Backoff {
 public:
  /// @param base Upper bound of the first delay.
  /// @param cap Upper bound of every delay.
  Backoff(Duration base, Duration cap) : base_(base), cap_(cap) {}

  /// Delay before retry `retry`, counted from 0: uniform in [0, bound), where the bound of a retry
  /// doubles with each retry up to the cap.
  Duration Delay(StepNumber retry, Random& random) const;

 private:
  Duration base_;
  Duration cap_;
};

}  // namespace bamboodock
