#pragma once

#include <algorithm>

#include "bamboodock/routing/route.h"

namespace bamboodock {

/// How long an attempt may keep a request waiting before another endpoint is tried.
struct AttemptTiming {
  /// Time for a connection; within a zone it takes about a millisecond.
  std::chrono::milliseconds connect{250};
  /// Part of the latency objective within which a repeatable plain request must be answered, so
  /// that a second endpoint can still answer within the objective.
  double plain_part = 0.65;
  /// Part of the latency objective within which a stream must begin. An engine that reads a long
  /// prompt is silent for seconds, and another would have to read it again.
  double stream_part = 1.5;
  /// The same when the endpoint has failed or been silent lately.
  double suspect_stream_part = 0.5;
  /// Part of the pause objective after which a silent stream is continued elsewhere.
  double pause_part = 0.8;
  /// Part of the latency objective for which a request that cannot be planned waits for the
  /// knowledge or the endpoint that it lacks.
  double plan_part = 0.12;
  /// The same for a request whose route is not known.
  std::chrono::milliseconds unknown_route{150};
  /// Pause between two tries to plan.
  std::chrono::milliseconds replan_pause{50};
};

/// Longest wait of a request that cannot be planned yet.
inline Duration PlanWait(const AttemptTiming& timing, const Route* route) {
  if (route == nullptr) return timing.unknown_route;
  const std::chrono::duration<double> objective(route->latency_objective);
  return std::chrono::duration_cast<Duration>(timing.plan_part * objective);
}

/// Longest wait for the head of an answer.
///
/// @param suspect Whether the endpoint has failed or been silent lately.
/// @param left Time until the request is given up.
/// @param last Whether no further attempt is possible.
inline Duration HeadWait(const AttemptTiming& timing, const Route& route, bool suspect,
                         Duration left, bool last) {
  if (last || !route.Idempotent() || route.latency_objective <= Duration::zero()) return left;
  const double stream = suspect ? timing.suspect_stream_part : timing.stream_part;
  const double part = route.kind == RouteKind::kStream ? stream : timing.plain_part;
  const std::chrono::duration<double> wait(part *
                                           std::chrono::duration<double>(route.latency_objective));
  return std::min(left, std::chrono::duration_cast<Duration>(wait));
}

/// Longest pause between two events of a stream.
inline Duration PauseWait(const AttemptTiming& timing, const Route& route, Duration left,
                          bool last) {
  if (last || !route.Idempotent() || route.interval_objective <= Duration::zero()) return left;
  const std::chrono::duration<double> wait(timing.pause_part *
                                           std::chrono::duration<double>(route.interval_objective));
  return std::min(left, std::chrono::duration_cast<Duration>(wait));
}

}  // namespace bamboodock
