#pragma once

#include <cstdint>

#include "bamboodock/core/units.h"

namespace bamboodock {

enum class OverloadLevel : std::uint8_t {
  kNormal,
  /// Little capacity is left: qualities are not explored by sampling.
  kElevated,
  /// No capacity is left: one attempt per request.
  kSevere,
};

/// Level for the share of all concurrency slots in use.
constexpr OverloadLevel OverloadLevelFor(Ratio load) {
  // At 85% of the slots in use, the loss of one endpoint of eight fills the others.
  constexpr Ratio kElevatedLoad{0.85};
  constexpr Ratio kSevereLoad{0.97};
  if (load >= kSevereLoad) return OverloadLevel::kSevere;
  return load >= kElevatedLoad ? OverloadLevel::kElevated : OverloadLevel::kNormal;
}

}  // namespace bamboodock
