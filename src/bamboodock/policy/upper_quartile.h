#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace bamboodock {

/// Running estimate of the upper quartile of positive values.
///
/// Stochastic approximation on the logarithm (Robbins and Monro, 1951): a value above the estimate
/// raises it three times as far as one below lowers it, so a quarter of the values stay above.
class UpperQuartile {
 public:
  void Add(double value) {
    if (!(value > 0)) return;
    ++values_;
    if (values_ == 1) {
      log_ = std::log(value);
      return;
    }
    const double step = std::max(kMinStep, 1.0 / static_cast<double>(values_));
    log_ += step * (std::log(value) > log_ ? kQuantile : kQuantile - 1);
  }

  /// Whether the value is above the estimate; false before there are enough values.
  bool IsAbove(double value) const {
    return values_ >= kMinValues && value > 0 && std::log(value) > log_;
  }

 private:
  static constexpr double kQuantile = 0.75;
  /// Smallest step of the logarithm; keeps the estimate able to follow changes.
  static constexpr double kMinStep = 0.05;
  static constexpr std::uint64_t kMinValues = 8;

  std::uint64_t values_ = 0;
  double log_ = 0;
};

}  // namespace bamboodock
