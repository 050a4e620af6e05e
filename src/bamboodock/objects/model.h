#pragma once

#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Part of a model's new sessions that a version receives.
struct VersionShare {
  VersionId version;
  Ratio share{1.0};
};

/// Named model whose requests are spread over versions.
struct Model {
  ModelId id;
  /// Shares of new sessions; they sum to 1.
  std::vector<VersionShare> shares;
};

}  // namespace bamboodock
