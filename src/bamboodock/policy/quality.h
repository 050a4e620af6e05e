#pragma once

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Estimated share of good answers and its standard deviation.
struct Quality {
  Ratio mean{0.0};
  Ratio deviation{0.0};
};

}  // namespace bamboodock
