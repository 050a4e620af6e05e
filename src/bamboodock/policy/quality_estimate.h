#pragma once

#include "bamboodock/core/units.h"
#include "bamboodock/policy/quality.h"

namespace bamboodock {

/// Beta posterior of the share of good answers, with evidence that loses weight over time.
///
/// The mean is kept when ratings stop, and the uncertainty grows back to that of the prior.
class QualityEstimate {
 public:
  /// Weight of the prior in ratings: with 20, about 20 ratings move the mean half the way.
  static constexpr double kDefaultPriorWeight = 20.0;
  static constexpr Duration kDefaultHalfLife = std::chrono::hours(24);

  explicit QualityEstimate(Ratio prior, double prior_weight = kDefaultPriorWeight,
                           Duration half_life = kDefaultHalfLife);

  /// Adds a rating between 0 (bad) and 1 (good) at the time it arrived.
  void Rate(Ratio rating, MonotonicTime now);

  Quality At(MonotonicTime now) const;

 private:
  double WeightAt(MonotonicTime now) const;

  double mean_;
  double prior_weight_;
  Duration half_life_;
  /// Weight of the ratings beyond the prior.
  double weight_ = 0;
  MonotonicTime updated_;
};

}  // namespace bamboodock
