#pragma once

#include <ctime>

#include "bamboodock/core/clock.h"

namespace bamboodock {

/// Clock that also counts the time during which the host was suspended.
///
/// The steady clock stops while a host is suspended, so knowledge judged by it would look younger
/// than it is.
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
