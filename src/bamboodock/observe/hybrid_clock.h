#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>

#include "bamboodock/core/quantity.h"

namespace bamboodock {

/// Microseconds of wall time, never behind a time seen in a message.
using EventTime = Quantity<struct EventTimeTag, std::uint64_t>;

/// Hybrid logical clock (Kulkarni et al. 2014) in one word.
///
/// Events that a message connects keep their order over hosts whose wall clocks differ.
class HybridClock {
 public:
  /// Time of a local event; rises with each call.
  EventTime Tick() {
    const std::uint64_t wall = WallMicros();
    std::uint64_t last = last_.load();
    std::uint64_t next = 0;
    do {
      next = std::max(wall, last + 1);
    } while (!last_.compare_exchange_weak(last, next));
    return EventTime(next);
  }

  /// Takes in the time carried by a received message.
  void Observe(EventTime seen) {
    std::uint64_t last = last_.load();
    while (last < seen.value() && !last_.compare_exchange_weak(last, seen.value())) {
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
