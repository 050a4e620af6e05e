#pragma once

#include <cstdint>

#include "bamboodock/core/quantity.h"

namespace bamboodock {

/// Counts how often the store has returned from an older copy of its rows; 0 for a store that does
/// not say.
using StoreEra = Quantity<struct StoreEraTag, std::uint64_t>;

}  // namespace bamboodock
