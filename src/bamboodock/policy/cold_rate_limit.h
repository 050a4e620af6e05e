#pragma once

#include <algorithm>
#include <cstdint>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Requests that a cold endpoint bears in any second from all entries together.
struct ColdRateLimit {
  RequestRate rate;
  /// Multiple of the rate at which the endpoint may fail.
  double overrun = 1.5;
  std::uint32_t tolerance = 5;
};

/// Requests that one of `entries` entries may send to a cold endpoint in a second.
///
/// @param rank Place of the entry in an order of all entries that is alike at all of them, from 0.
/// What cannot be shared out evenly goes to the first ones; on large deployments the others get
/// nothing.
inline std::uint32_t ColdShare(const ColdRateLimit& bound, std::uint32_t entries,
                               std::uint32_t rank) {
  // Part of the bound that is planned for; the rest covers entries that do not know each other yet.
  constexpr double kPlannedPart = 0.75;
  const double all = bound.rate.value() * bound.overrun + bound.tolerance;
  const auto planned = static_cast<std::uint32_t>(kPlannedPart * all);
  const std::uint32_t count = std::max(entries, 1U);
  return planned / count + (rank < planned % count ? 1 : 0);
}

}  // namespace bamboodock
