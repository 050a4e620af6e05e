#include "bamboodock/policy/zone_ramp.h"

#include <algorithm>

namespace bamboodock {

void ZoneRamp::MarkAvailable(MonotonicTime now) {
  if (!unavailable_) return;
  unavailable_ = false;
  returned_at_ = now;
}

Ratio ZoneRamp::Share(MonotonicTime now) const {
  if (unavailable_) return Ratio(0.0);
  if (!returned_at_ || now - *returned_at_ >= duration_) return Ratio(1.0);
  const std::chrono::duration<double> age = std::max(Duration::zero(), now - *returned_at_);
  const std::chrono::duration<double> ramp_duration = duration_;
  return Ratio(initial_.value() + (1 - initial_.value()) * (age / ramp_duration));
}

}  // namespace bamboodock
