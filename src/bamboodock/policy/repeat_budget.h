#pragma once

#include <algorithm>
#include <cstdint>

#include "bamboodock/core/units.h"
#include "bamboodock/policy/sliding_count.h"

namespace bamboodock {

/// Bounds of the repeats of one service over all entries together.
struct RepeatLimits {
  /// Repeats that each request earns.
  Ratio ratio{0.9};
  /// Repeats allowed in a window besides, for all entries together.
  std::uint32_t extra = 50;
  Duration window = std::chrono::seconds(10);
};

/// One entry's share of the repeats of a service: sends beyond the first of each request.
///
/// The bound over all entries is ratio x requests + extra. Each entry keeps ratio x its own
/// requests and an equal part of `extra`, so the sum holds without messages.
class RepeatBudget {
 public:
  explicit RepeatBudget(const RepeatLimits& limits)
      : limits_(limits), requests_(limits.window), repeats_(limits.window) {}

  void OnRequest(MonotonicTime now) { requests_.Add(now); }

  /// Spends one repeat; false when this entry's share of the window is spent.
  bool TryRepeat(MonotonicTime now, std::uint32_t entries) {
    // The part of the bound that is used; the rest covers entries that restart with empty counts.
    constexpr double kUsedPart = 0.8;
    const double earned = limits_.ratio.value() * static_cast<double>(requests_.Count(now));
    const double part = static_cast<double>(limits_.extra) / std::max(entries, 1U);
    if (static_cast<double>(repeats_.Count(now)) + 1 > kUsedPart * (earned + part)) return false;
    repeats_.Add(now);
    return true;
  }

 private:
  RepeatLimits limits_;
  SlidingCount requests_;
  SlidingCount repeats_;
};

}  // namespace bamboodock
