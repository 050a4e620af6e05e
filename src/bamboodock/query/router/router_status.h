#pragma once

#include "bamboodock/core/ref_counted.h"
#include "bamboodock/core/units.h"
#include "bamboodock/policy/slowdown_quantiles.h"
#include "bamboodock/routing/route_table.h"

namespace bamboodock {

/// Immutable snapshot of the planning duty's state for readers on other threads.
struct RouterStatus : RefCounted<RouterStatus> {
  /// Null before the first configuration.
  Ref<const RouteTable> table;
  /// Time until which the router reports ready, unless it is shutting down.
  MonotonicTime ready_until{};
  std::size_t endpoints = 0;
  std::uint32_t entries = 1;
  std::size_t quarantined_prompt_parts = 0;
  std::size_t rate_limited_endpoints = 0;
  SlowdownQuantiles slowdown;
};

}  // namespace bamboodock
