#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>

#include "bamboodock/core/quantity.h"

namespace bamboodock {

/// Hybrid time in microseconds since the Unix epoch; never behind a time received in a message.
using EventTime = Quantity<struct EventTimeTag, std::uint64_t>;

/// Hybrid logical clock (Kulkarni et al. 2014) in one word.
///
/// Causally related events keep their order across hosts whose wall clocks differ. Thread-safe.
class HybridClock {
 public:
  /// Time of a local event; strictly increasing.
  EventTime Tick() {
    const std::uint64_t wall = WallMicros();
    std::uint64_t last = last_.load();
    std::uint64_t next = 0;
    do {
      next = std::max(wall, last + 1);
    } while (!last_.compare_exchange_weak(last, next));
    return EventTime(next);
  }

  /// Advances the clock to the time carried by a received message.
  void Observe(EventTime received) {
    std::uint64_t last = last_.load();
    while (last < received.value() && !last_.compare_exchange_weak(last, received.value())) {
    }
  }

 private:
  static std::uint64_t WallMicros() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
  }

  std::atomic<std::uint64_t> last_{0};
};

}  // namespace bamboodock
