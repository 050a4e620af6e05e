#pragma once

#include <algorithm>

#include "bamboodock/routing/caller_request.h"
#include "bamboodock/routing/route.h"

namespace bamboodock {

/// Time at which a request is given up; `route` is null when it is not known yet.
inline MonotonicTime RequestDeadline(const CallerRequest& request, const Route* route) {
  // Applies if neither the caller nor the route sets a deadline.
  constexpr std::chrono::seconds kDefaultTimeLeft{60};
  const MonotonicTime deadline =
      request.arrived + request.metadata.time_left.value_or(kDefaultTimeLeft);
  if (route == nullptr || route->timeout <= Duration::zero()) return deadline;
  return std::min(deadline, request.arrived + route->timeout);
}

}  // namespace bamboodock
