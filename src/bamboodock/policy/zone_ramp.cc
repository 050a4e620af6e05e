#include "bamboodock/policy/zone_ramp.h"

#include <algorithm>

namespace bamboodock {

void ZoneRamp::Returned(MonotonicTime now) {
  if (!out_) return;
  out_ = false;
  returned_ = now;
}

Ratio ZoneRamp::Share(MonotonicTime now) const {
  if (out_) return Ratio(0.0);
  if (!returned_ || now - *returned_ >= length_) return Ratio(1.0);
  const std::chrono::duration<double> age = std::max(Duration::zero(), now - *returned_);
  const std::chrono::duration<double> length = length_;
  return Ratio(initial_.value() + (1 - initial_.value()) * (age / length));
}

}  // namespace bamboodock
