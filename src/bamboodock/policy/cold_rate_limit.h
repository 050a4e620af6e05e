#pragma once

#include <algorithm>
#include <cstdint>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Limit on the requests that a cold endpoint receives in any second from all entries together.
struct ColdRateLimit {
  RequestRate rate;
  /// Multiple of the rate above which the endpoint may fail.
  double overrun = 1.5;
  /// Requests that the endpoint tolerates beyond that multiple in any second.
  double tolerance = 5;
};

/// Number of requests that one of `entries` entries may send to a cold endpoint in any second.
///
/// @param rank Rank of the entry from 0, in an order on which all entries agree. The remainder of
/// an even division goes to the lowest ranks; in large deployments the other entries get nothing.
inline std::uint32_t ColdShare(const ColdRateLimit& limit, std::uint32_t entries,
                               std::uint32_t rank) {
  // Fraction of the limit that is shared out; the rest covers entries that do not know each other
  // yet.
  constexpr double kPlannedFraction = 0.75;
  const double total = limit.rate.value() * limit.overrun + limit.tolerance;
  const auto planned = static_cast<std::uint32_t>(kPlannedFraction * total);
  const std::uint32_t entry_count = std::max(entries, 1U);
  return planned / entry_count + (rank < planned % entry_count ? 1 : 0);
}

}  // namespace bamboodock
