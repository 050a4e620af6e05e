#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Score that the rating service gave to one answer; it may arrive late or never.
struct Rating {
  std::uint64_t cursor = 0;
  RequestId request;
  ModelId model;
  VersionId version;
  std::string kind;
  Ratio score;
};

class RatingQueries {
 public:
  virtual ~RatingQueries() = default;
  /// Ratings after `cursor`, oldest first, at most `limit`. Fails with `kStoreUnavailable`.
  virtual Result<std::vector<Rating>> RatingsAfter(std::uint64_t cursor, std::size_t limit) = 0;
};

}  // namespace bamboodock
