#pragma once

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Milliseconds after the start of a test.
inline MonotonicTime At(std::int64_t millis) {
  return MonotonicTime(std::chrono::milliseconds(millis));
}

}  // namespace bamboodock
