#pragma once

#include <chrono>
#include <cmath>
#include <optional>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Slots of one service that become free per second, as this entry sees them: the ends of its own
/// attempts, smoothed exponentially over `kSmoothing`.
///
/// Load pattern: a full service whose rate changes within seconds, when endpoints leave or prompts
/// get longer.
///
/// The rate is relative to the time since the first end, so that the estimate is not too low in the
/// first seconds.
class DrainRate {
 public:
  static constexpr std::chrono::seconds kSmoothing{2};
  /// Weight of the ends, each of which counts 1 at first, below which the rate is not known.
  static constexpr double kMinWeight = 4;

  /// Records that an attempt has ended.
  void OnFreed(MonotonicTime now) {
    if (!first_) first_ = now;
    weight_ = Weight(now) + 1;
    updated_ = now;
  }

  /// Rate at this time; empty when too few attempts have ended lately.
  std::optional<RequestRate> Rate(MonotonicTime now) const {
    const double weight = Weight(now);
    if (!first_ || weight < kMinWeight) return std::nullopt;
    // The first end begins the observation and does not count.
    const double first_weight = Decay(now - *first_);
    const double covered = Seconds(kSmoothing).count() * (1 - first_weight);
    if (covered <= 0) return std::nullopt;
    return RequestRate((weight - first_weight) / covered);
  }

 private:
  using Seconds = std::chrono::duration<double>;

  static double Decay(Duration elapsed) {
    return std::exp(-Seconds(elapsed) / Seconds(kSmoothing));
  }
  double Weight(MonotonicTime now) const { return weight_ * Decay(now - updated_); }

  std::optional<MonotonicTime> first_;
  MonotonicTime updated_{};
  double weight_ = 0;
};

}  // namespace bamboodock
