#pragma once

#include "bamboodock/routing/attempt_plan.h"
#include "bamboodock/routing/route.h"

namespace bamboodock {

/// Whether a request of the route may be sent to an endpoint for this reason: one that is not
/// idempotent runs at most once.
///
/// Load pattern: lost answers, silent endpoints, streams that break off and models that are unsure
/// of their answers, each of which asks for another run of a request that may have run.
inline bool IsAttemptAllowed(const Route& route, PlanReason reason) {
  const bool may_have_run = reason != PlanReason::kFirst && reason != PlanReason::kNotRun;
  return !may_have_run || route.IsIdempotent();
}

}  // namespace bamboodock
