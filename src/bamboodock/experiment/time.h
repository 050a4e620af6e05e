#pragma once

#include "bamboodock/core/units.h"

namespace bamboodock::experiment {

constexpr Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace bamboodock::experiment
