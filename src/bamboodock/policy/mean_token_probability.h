#pragma once

#include <cmath>
#include <optional>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Mean probability of the tokens of an answer, from the log probabilities that the engine streams.
class MeanTokenProbability {
 public:
  void Add(double log_probability) {
    sum_ += std::exp(log_probability);
    ++count_;
  }

  /// Empty when the engine sent no log probabilities.
  std::optional<Ratio> Mean() const {
    if (count_ == 0) return std::nullopt;
    return Ratio(sum_ / static_cast<double>(count_));
  }

 private:
  double sum_ = 0;
  std::uint64_t count_ = 0;
};

}  // namespace bamboodock
