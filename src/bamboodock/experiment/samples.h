#pragma once

#include <algorithm>
#include <vector>

#include "bamboodock/core/units.h"

namespace bamboodock::experiment {

/// Collects values and computes their mean and percentiles.
class Samples {
 public:
  void Add(double value) { values_.push_back(value); }
  void Add(const Samples& other) {
    values_.insert(values_.end(), other.values_.begin(), other.values_.end());
  }

  std::size_t size() const { return values_.size(); }

  /// 0 without values.
  double Mean() const {
    double sum = 0;
    for (const double value : values_) sum += value;
    return values_.empty() ? 0 : sum / static_cast<double>(values_.size());
  }

  /// Value at index min(floor(`rank` * size), size - 1) of the sorted values; 0 without values.
  double Percentile(Ratio rank) const {
    if (values_.empty()) return 0;
    std::vector<double> sorted = values_;
    const auto index = static_cast<std::size_t>(rank.value() * static_cast<double>(sorted.size()));
    const auto nth =
        sorted.begin() + static_cast<std::ptrdiff_t>(std::min(index, sorted.size() - 1));
    std::nth_element(sorted.begin(), nth, sorted.end());
    return *nth;
  }

 private:
  std::vector<double> values_;
};

}  // namespace bamboodock::experiment
