#include "bamboodock/policy/quality_estimate.h"

#include <algorithm>
#include <cmath>

namespace bamboodock {

QualityEstimate::QualityEstimate(Ratio prior, const QualitySettings& settings)
    : settings_(settings) {
  const double error = settings_.rating_error.value();
  mean_ = prior.value() * (1 - 2 * error) + error;
}

void QualityEstimate::AddRating(Ratio rating, MonotonicTime now) {
  const double weight = WeightAt(now);
  const double total = settings_.prior_weight + weight;
  mean_ = (mean_ * total + rating.value()) / (total + 1);
  weight_ = weight + 1;
  updated_ = std::max(updated_, now);
}

Quality QualityEstimate::At(MonotonicTime now) const {
  const double total = settings_.prior_weight + WeightAt(now);
  const double error = settings_.rating_error.value();
  const double scale = 1 - 2 * error;
  const double deviation = std::sqrt(mean_ * (1 - mean_) / (total + 1));
  return {Ratio(std::clamp((mean_ - error) / scale, 0.0, 1.0)), Ratio(deviation / scale)};
}

double QualityEstimate::WeightAt(MonotonicTime now) const {
  if (now <= updated_) return weight_;
  const std::chrono::duration<double> age = now - updated_;
  const std::chrono::duration<double> half_life = settings_.half_life;
  return weight_ * std::exp2(-age / half_life);
}

}  // namespace bamboodock
