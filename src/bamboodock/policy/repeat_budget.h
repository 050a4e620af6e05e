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
/// first one that an endpoint may have received.
///
/// The limit over all entries is ratio x requests + extra. Each entry may use ratio x its own
/// requests and an equal share of `extra`, so the sum stays within the limit without messages.
///
/// Load pattern: many endpoints lose answers or cannot be reached while answers of small models are
/// escalated, so that both compete for the budget.
class RepeatBudget {
 public:
  explicit RepeatBudget(const RepeatLimits& limits)
      : limits_(limits),
        requests_(limits.window),
        repeats_(limits.window),
        unsent_(limits.window) {}

  void OnRequest(MonotonicTime now) { requests_.Add(now); }

  /// Uses one repeat; false when the share of this entry in the window is used up.
  bool TryRepeat(MonotonicTime now, std::uint32_t entries) {
    if (Used(now) + 1 > Allowance(now, entries)) return false;
    repeats_.Add(now);
    return true;
  }

  /// Gives back a repeat that was not sent to any endpoint.
  void OnUnsent(MonotonicTime now) { unsent_.Add(now); }

  /// Part of the share of this entry that is used up, from 0 to 1.
  Ratio UsedPart(MonotonicTime now, std::uint32_t entries) {
    const double allowance = Allowance(now, entries);
    if (allowance <= 0) return Ratio(1);
    return Ratio(std::clamp(Used(now) / allowance, 0.0, 1.0));
  }

 private:
  double Used(MonotonicTime now) {
    return static_cast<double>(repeats_.Count(now)) - static_cast<double>(unsent_.Count(now));
  }

  double Allowance(MonotonicTime now, std::uint32_t entries) {
    // The rest covers events that leave the sliding count late.
    constexpr double kRequestPart = 0.95;
    // An entry that restarts has lost its counts and uses its part of `extra` once more.
    constexpr double kExtraPart = 0.5;
    const double requests = static_cast<double>(requests_.Count(now));
    return kRequestPart * limits_.ratio.value() * requests +
           kExtraPart * limits_.extra / std::max(entries, 1U);
  }

  RepeatLimits limits_;
  SlidingCount requests_;
  SlidingCount repeats_;
  /// Repeats given back.
  SlidingCount unsent_;
};

}  // namespace bamboodock
