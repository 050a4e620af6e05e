#pragma once

#include <string>

#include "bamboodock/core/result.h"
#include "bamboodock/core/strong_id.h"

namespace bamboodock {

/// Name of a set of weights, for example "oss-small@2".
using WeightName = StrongId<struct WeightNameTag>;

/// Reading side of the rate-limited weight store.
class WeightQueries {
 public:
  virtual ~WeightQueries() = default;
  /// Fails with `kOverloaded` above the store's rate, `kNotFound` or `kStoreUnavailable`.
  virtual Result<std::string> Load(const WeightName& name) = 0;
};

}  // namespace bamboodock
