#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

#include "bamboodock/core/slowdown.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Estimates the slowdown of one endpoint from its own reports and those of other entries.
///
/// Load pattern: hosts differ by up to 2.7 times in the long run, and some are slowed by a further
/// 2.5 times for some hundred milliseconds. An entry hears of an endpoint only with the answers to
/// its own requests, so the last report is often older than such a spell.
///
/// The estimate is the long-run mean plus the deviation of the last report from it, which decays
/// with its age. Both are logarithms, so twice as fast weighs as much as twice as slow. Reports
/// count by the time for which they stand, not by number: those of one spell are nearly equal.
class EndpointPace {
 public:
  /// Time constants of the long-run mean and of the deviation of the last report.
  static constexpr std::chrono::seconds kMeanTime{10};
  static constexpr std::chrono::milliseconds kDeviationTime{300};
  /// Longest time for which one report stands: about one spell.
  static constexpr std::chrono::milliseconds kMaxSpan{600};
  /// Time for which the assumption stands that an unknown endpoint is as fast as usual.
  static constexpr std::chrono::milliseconds kPriorSpan{300};
  /// Reports outside of these bounds count as the bound, so that one wrong report cannot keep an
  /// endpoint from being used.
  static constexpr double kMinSlowdown = 0.1;
  static constexpr double kMaxSlowdown = 20;
  /// Relative error of a report that has just been made.
  static constexpr double kMinError = 0.05;
  /// Standard deviation of the logarithm while it is not known; hosts that differ evenly by up to
  /// 2.7 times have this one.
  static constexpr double kPriorSpread = 0.3;
  /// Time for which that value stands.
  static constexpr std::chrono::seconds kPriorSpreadSpan{1};

  /// Records what the endpoint reports.
  void Observe(Slowdown reported, MonotonicTime now) {
    const double value = ToLog(reported);
    Decay(now);
    const double added = own_.Add(value, now);
    UpdateMean();
    deviation_ = value - log_mean_;
    observed_at_ = now;
    variance_ += added / (own_.span + Seconds(kPriorSpreadSpan).count()) *
                 (deviation_ * deviation_ - variance_);
  }

  /// Records the long-run mean that another entry has observed.
  void Merge(Slowdown mean, MonotonicTime now) {
    Decay(now);
    others_.Add(ToLog(mean), now);
    UpdateMean();
  }

  /// Whether this or another entry has heard how fast the endpoint is.
  bool known() const { return has_own() || others_.span > 0; }
  /// Whether this entry has heard it from the endpoint.
  bool has_own() const { return own_.span > 0; }
  /// Long-run mean of the reports to this entry, for the other entries. Their own reports are left
  /// out, so that no value returns to its sender as a confirmation.
  Slowdown own_mean() const { return Slowdown(std::exp(own_.mean)); }
  /// Long-run mean.
  Slowdown mean() const { return mean_; }

  /// Slowdown expected at `now`.
  Slowdown At(MonotonicTime now) const {
    const Seconds age = now - observed_at_;
    if (!has_own() || age > kForgotten) return mean_;
    return Slowdown(mean_.value() * std::exp(deviation_ * std::exp(-age / kDeviationTime)));
  }

  /// Relative error of the slowdown expected at `now`. It grows from that of a report to the spread
  /// of the slowdown at the rate at which the deviation decays, as in a process that returns to its
  /// mean (Ornstein and Uhlenbeck, 1930).
  double Error(MonotonicTime now) const {
    const Seconds age = now - observed_at_;
    const bool forgotten = !has_own() || age > kForgotten;
    const double left = forgotten ? 0 : std::exp(-2 * (age / kDeviationTime));
    return std::sqrt(kMinError * kMinError + variance_ * (1 - left));
  }

 private:
  using Seconds = std::chrono::duration<double>;
  /// Age from which a deviation has no influence any more.
  static constexpr std::chrono::milliseconds kForgotten = 5 * kDeviationTime;

  /// Mean of logarithms, weighted by time.
  struct Mean {
    /// Adds a value; returns the time for which it stands, in seconds.
    double Add(double value, MonotonicTime now) {
      const Seconds elapsed = now - added_at;
      const bool first = span <= 0;
      const double added = first ? Seconds(kMaxSpan).count()
                                 : std::clamp(elapsed.count(), 0.0, Seconds(kMaxSpan).count());
      added_at = now;
      span += added;
      mean += added / span * (value - mean);
      return added;
    }

    double mean = 0;
    /// Time for which the values stand, in seconds; older ones count less.
    double span = 0;
    MonotonicTime added_at{};
  };

  static double ToLog(Slowdown slowdown) {
    return std::log(std::clamp(slowdown.value(), kMinSlowdown, kMaxSlowdown));
  }

  void Decay(MonotonicTime now) {
    const Seconds elapsed = std::max(now - decayed_at_, Duration::zero());
    const double factor = std::exp(-elapsed / kMeanTime);
    own_.span *= factor;
    others_.span *= factor;
    decayed_at_ = now;
  }

  void UpdateMean() {
    const double span = own_.span + others_.span + Seconds(kPriorSpan).count();
    log_mean_ = (own_.span * own_.mean + others_.span * others_.mean) / span;
    mean_ = Slowdown(std::exp(log_mean_));
  }

  Mean own_;
  Mean others_;
  MonotonicTime decayed_at_{};
  double log_mean_ = 0;
  Slowdown mean_{1};
  double deviation_ = 0;
  MonotonicTime observed_at_{};
  double variance_ = kPriorSpread * kPriorSpread;
};

}  // namespace bamboodock
