#pragma once

#include <algorithm>
#include <cstdint>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Requests that a cold endpoint bears in any second from all entries together.
struct ColdBound {
  RequestRate rate;
  /// Multiple of the rate at which the endpoint may fail.
  double overrun = 1.5;
  std::uint32_t tolerance = 5;
};

/// Requests that one of `entries` entries may send to a cold endpoint in a second; at least one,
/// since the sum of single requests is covered by the tolerance only on small deployments.
inline std::uint32_t ColdShare(const ColdBound& bound, std::uint32_t entries) {
  // Part of the bound that is planned for; the rest covers entries that do not know each other yet.
  constexpr double kPlannedPart = 0.75;
  const double all = bound.rate.value() * bound.overrun + bound.tolerance;
  return std::max(1U, static_cast<std::uint32_t>(kPlannedPart * all / std::max(entries, 1U)));
}

}  // namespace bamboodock
