#pragma once

#include <map>
#include <optional>
#include <utility>

#include "bamboodock/core/ids.h"
#include "bamboodock/routing/attempt_plan.h"

namespace bamboodock {

/// Estimates how long a model takes for the whole answer to a request, from the streams of the same
/// route.
///
/// Load pattern: busy engines generate so slowly that the longest answers of a large model cannot
/// end before their deadline.
class StreamPace {
 public:
  /// Learns from one attempt, complete or not.
  void Learn(const AttemptReport& report);

  /// Expected time from the start of an attempt to its last event; empty before the first complete
  /// stream of the route and the first events of the model.
  std::optional<Duration> Expected(const RouteId& route, const ModelId& model,
                                   Tokens max_output_tokens) const;

 private:
  using Key = std::pair<RouteId, ModelId>;

  /// Mean events of a complete stream for each output token that its caller accepts.
  std::map<RouteId, double> events_per_token_;
  /// Mean times to the head and between events, in seconds.
  std::map<Key, double> head_latency_;
  std::map<Key, double> event_interval_;
};

}  // namespace bamboodock
