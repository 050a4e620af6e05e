#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "bamboodock/routing/route.h"

namespace bamboodock {

/// Timeouts after which an attempt is given up and another endpoint is tried.
struct AttemptTimeouts {
  /// Timeout for opening a connection, which takes about 1 ms within a zone.
  std::chrono::milliseconds connect{250};
  /// Multiple of the latency objective within which a repeatable plain request must be answered, so
  /// that a second endpoint can still answer within the objective.
  double plain_factor = 0.65;
  /// Multiple of the latency objective within which a stream must begin. An engine sends
  /// nothing for seconds while it reads a long prompt, and another engine would have to read it
  /// again.
  double stream_factor = 1.5;
  /// The same for an endpoint that has recently failed or sent nothing.
  double suspect_stream_factor = 0.5;
  /// Time for the rest of an answer head whose first bytes have arrived.
  std::chrono::milliseconds head_rest{1000};
  /// Multiple of the interval objective after which a stream without events is resumed at another
  /// endpoint. The answer is late by then, and the new endpoint reads the prompt again, so a stream
  /// that is only slow is better waited for.
  double idle_factor = 1.5;
  /// Multiple of the stream's own mean interval that a pause must exceed as well.
  double idle_interval_factor = 10;
  /// Multiple of the latency objective for which a request that cannot be planned yet waits for
  /// the missing configuration or endpoint.
  double plan_factor = 0.12;
  /// The same, as a time, for a request whose route is not known.
  std::chrono::milliseconds unknown_route{150};
  /// Interval between two attempts to plan a request.
  std::chrono::milliseconds replan_interval{50};
};

/// Time for which a request that cannot be planned yet waits; `route` is null when it is unknown.
inline Duration PlanTimeout(const AttemptTimeouts& timeouts, const Route* route) {
  if (route == nullptr) return timeouts.unknown_route;
  const std::chrono::duration<double> objective(route->latency_objective);
  return std::chrono::duration_cast<Duration>(timeouts.plan_factor * objective);
}

/// Timeout for the head of an answer.
///
/// @param suspect Whether the endpoint has recently failed or sent nothing.
/// @param left Time until the request itself is given up; upper bound of the result.
/// @param last Whether no further attempt is possible.
inline Duration HeadTimeout(const AttemptTimeouts& timeouts, const Route& route, bool suspect,
                            Duration left, bool last) {
  if (last || !route.IsIdempotent() || route.latency_objective <= Duration::zero()) return left;
  const double stream = suspect ? timeouts.suspect_stream_factor : timeouts.stream_factor;
  const double factor = route.kind == RouteKind::kStream ? stream : timeouts.plain_factor;
  const std::chrono::duration<double> wait(factor *
                                           std::chrono::duration<double>(route.latency_objective));
  return std::min(left, std::chrono::duration_cast<Duration>(wait));
}

/// Timeout for the rest of an answer head; the parameters are those of `HeadTimeout`.
inline Duration HeadRestTimeout(const AttemptTimeouts& timeouts, Duration left, bool last) {
  return last ? left : std::min<Duration>(left, timeouts.head_rest);
}

/// Timeout between two events of a stream.
///
/// Load pattern: engines that pause for long while they read prompts, beside some that have
/// stopped.
///
/// @param interval Mean interval between the events of the stream so far, if it is known.
/// The other parameters are those of `HeadTimeout`.
inline Duration StreamIdleTimeout(const AttemptTimeouts& timeouts, const Route& route,
                                  std::optional<Duration> interval, Duration left, bool last) {
  if (last || !route.IsIdempotent() || route.interval_objective <= Duration::zero()) return left;
  using Seconds = std::chrono::duration<double>;
  const Seconds by_objective = timeouts.idle_factor * Seconds(route.interval_objective);
  const Seconds by_interval =
      timeouts.idle_interval_factor * Seconds(interval.value_or(Duration::zero()));
  return std::min(left, std::chrono::duration_cast<Duration>(std::max(by_objective, by_interval)));
}

}  // namespace bamboodock
