#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "bamboodock/core/slowdown.h"

namespace bamboodock {

/// Distribution of the slowdown over endpoints: the quantiles 0.1, 0.5 and 0.9.
struct SlowdownQuantiles {
  Slowdown low{1};
  Slowdown median{1};
  Slowdown high{1};
};

/// Quantiles of the given values; 1 when there are none.
inline SlowdownQuantiles QuantilesOf(std::vector<Slowdown> values) {
  if (values.empty()) return {};
  std::sort(values.begin(), values.end());
  const auto at = [&](double quantile) {
    return values[static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1))];
  };
  return {at(0.1), at(0.5), at(0.9)};
}

}  // namespace bamboodock
