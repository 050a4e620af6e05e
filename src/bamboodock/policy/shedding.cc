#include "bamboodock/policy/shedding.h"

#include <algorithm>

namespace bamboodock {

Ratio Shedding::Refusal(int priority, Ratio load) {
  const double refusal_start = kFullLoad - kClassWidth * std::clamp(priority, 0, kLowestClass);
  return Ratio(std::clamp((load.value() - refusal_start) / kClassWidth, 0.0, 1.0));
}

bool Shedding::Admit(int priority, Ratio load, Random& random) {
  return random.Uniform() >= Refusal(priority, load).value();
}

}  // namespace bamboodock
