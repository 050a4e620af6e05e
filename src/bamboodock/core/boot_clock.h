#pragma once

#include <ctime>

#include "bamboodock/core/clock.h"

namespace bamboodock {

/// Clock that also advances while the host is suspended.
///
/// The steady clock stops during a suspension, so evidence whose age it measures would appear
/// fresher than it is.
class BootClock final : public Clock {
 public:
  MonotonicTime Now() const override {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return MonotonicTime(std::chrono::seconds(time.tv_sec) +
                         std::chrono::nanoseconds(time.tv_nsec));
  }
  WallTime Wall() const override { return std::chrono::system_clock::now(); }
};

}  // namespace bamboodock
