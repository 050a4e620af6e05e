#pragma once

#include <string>

#include "bamboodock/core/result.h"
#include "bamboodock/core/strong_id.h"

namespace bamboodock {

/// Name of a set of weights, for example "oss-small@2".
using WeightName = StrongId<struct WeightNameTag>;

/// Queries of the rate-limited weight store.
class WeightQueries {
 public:
  virtual ~WeightQueries() = default;
  /// Returns the weights. Fails with `kOverloaded` above the store's rate limit, `kNotFound` or
  /// `kStoreUnavailable`.
  virtual Result<std::string> Load(const WeightName& name) = 0;
};

}  // namespace bamboodock
