#pragma once

#include "bamboodock/core/quantity.h"

namespace bamboodock {

/// Time that work takes as a multiple of the usual: at 2 it takes twice as long.
using Slowdown = Quantity<struct SlowdownTag, double>;

}  // namespace bamboodock
