#include "bamboodock/policy/quality_estimate.h"

#include <algorithm>
#include <cmath>

namespace bamboodock {

QualityEstimate::QualityEstimate(Ratio prior, double prior_weight, Duration half_life)
    : mean_(prior.value()), prior_weight_(prior_weight), half_life_(half_life) {}

void QualityEstimate::Rate(Ratio rating, MonotonicTime now) {
  const double weight = WeightAt(now);
  const double total = prior_weight_ + weight;
  mean_ = (mean_ * total + rating.value()) / (total + 1);
  weight_ = weight + 1;
  updated_ = std::max(updated_, now);
}

Quality QualityEstimate::At(MonotonicTime now) const {
  const double total = prior_weight_ + WeightAt(now);
  return {Ratio(mean_), Ratio(std::sqrt(mean_ * (1 - mean_) / (total + 1)))};
}

double QualityEstimate::WeightAt(MonotonicTime now) const {
  if (now <= updated_) return weight_;
  const std::chrono::duration<double> age = now - updated_;
  const std::chrono::duration<double> half_life = half_life_;
  return weight_ * std::exp2(-age / half_life);
}

}  // namespace bamboodock
