#pragma once

#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// One candidate of a cascade.
struct CascadeStep {
  ModelId model;
  VersionId version;
};

/// Ordered candidates, cheapest first, tried until the quality target is expected to be met.
struct Cascade {
  CascadeId id;
  std::vector<CascadeStep> steps;
  Ratio quality_target{0.9};
  /// Minimum mean token probability with which an answer is accepted without escalation.
  Ratio accept_confidence{0.8};
  /// Maximum number of versions tried for one request.
  StepNumber max_steps{2};
};

}  // namespace bamboodock
