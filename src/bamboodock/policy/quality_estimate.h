#pragma once

#include "bamboodock/core/units.h"
#include "bamboodock/policy/quality.h"

namespace bamboodock {

/// Parameters of quality estimates.
struct QualitySettings {
  /// Weight of the prior in ratings: with 20, about 20 ratings move the mean half of the way from
  /// the prior to their own mean.
  double prior_weight = 20.0;
  /// Time in which ratings lose half of their weight.
  Duration half_life = std::chrono::hours(24);
  /// Share of ratings that are wrong. Without this correction, a version of quality 0.95 that is
  /// rated with 5% errors is estimated at 0.905 and never reaches a target of 0.92.
  Ratio rating_error{0.0};
};

/// Beta posterior of the share of good answers, from ratings whose weight decays over time.
///
/// When ratings stop, the mean is kept and the uncertainty grows back to that of the prior.
class QualityEstimate {
 public:
  explicit QualityEstimate(Ratio prior, const QualitySettings& settings = {});

  /// Adds a rating between 0 (bad) and 1 (good) at the time it arrived.
  void AddRating(Ratio rating, MonotonicTime now);

  Quality At(MonotonicTime now) const;

 private:
  double WeightAt(MonotonicTime now) const;

  QualitySettings settings_;
  /// Mean of the prior and the ratings before correction for wrong ratings.
  double mean_;
  /// Weight of the ratings at `updated_`, without that of the prior.
  double weight_ = 0;
  MonotonicTime updated_;
};

}  // namespace bamboodock
