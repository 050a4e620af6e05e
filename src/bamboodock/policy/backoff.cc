#include "bamboodock/policy/backoff.h"

#include <algorithm>

namespace bamboodock {

Duration Backoff::Delay(StepNumber retry, Random& random) const {
  Duration bound = std::min(base_, cap_);
  for (std::uint32_t i = 0; i < retry.value() && bound < cap_; ++i) {
    bound = bound > cap_ / 2 ? cap_ : bound * 2;
  }
  const auto jittered = static_cast<double>(bound.count()) * random.Uniform();
  return Duration(static_cast<Duration::rep>(jittered));
}

}  // namespace bamboodock
