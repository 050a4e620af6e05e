#pragma once

#include <algorithm>
#include <cstdint>

#include "bamboodock/core/units.h"
#include "bamboodock/policy/sliding_count.h"

namespace bamboodock {

/// Limits on the repeats of one service over all entries together.
struct RepeatLimits {
  /// Repeats allowed per request.
  Ratio ratio{0.9};
  /// Further repeats allowed in each window, for all entries together.
  double extra = 50;
  Duration window = std::chrono::seconds(10);
};

/// Share of one entry in the repeats of a service. A repeat is any attempt of a request after the
/// first.
///
/// The limit over all entries is ratio x requests + extra. Each entry may use ratio x its own
/// requests and an equal share of `extra`, so the sum stays within the limit without messages.
class RepeatBudget {
 public:
  explicit RepeatBudget(const RepeatLimits& limits)
      : limits_(limits), requests_(limits.window), repeats_(limits.window) {}

  void OnRequest(MonotonicTime now) { requests_.Add(now); }

  /// Uses one repeat; false when the share of this entry in the window is used up.
  bool TryRepeat(MonotonicTime now, std::uint32_t entries) {
    // Fraction of the limit that is used; the rest covers entries that restart with empty counts.
    constexpr double kUsedFraction = 0.8;
    const double base = limits_.ratio.value() * static_cast<double>(requests_.Count(now));
    const double extra = limits_.extra / std::max(entries, 1U);
    if (static_cast<double>(repeats_.Count(now)) + 1 > kUsedFraction * (base + extra)) return false;
    repeats_.Add(now);
    return true;
  }

 private:
  RepeatLimits limits_;
  SlidingCount requests_;
  SlidingCount repeats_;
};

}  // namespace bamboodock
