#pragma once

#include <map>
#include <utility>

#include "bamboodock/core/ids.h"
#include "bamboodock/routing/attempt_plan.h"

namespace bamboodock {

/// Times of answers that are usual for a service, smoothed by route and model.
class LatencyBaseline {
 public:
  /// Time to the head of the answer over the usual one. The first answer of a route and model is
  /// usual by definition. The report must have a head latency.
  double HeadLatencyRatio(const AttemptReport& report);
  /// Counts the times of an answer to what is usual.
  void Learn(const AttemptReport& report);
  /// How an answer compares with what is usual.
  struct Verdict {
    bool late_head = false;
    bool slow_events = false;
  };
  Verdict Judge(const AttemptReport& report) const;

 private:
  using Key = std::pair<RouteId, ModelId>;

  /// Time to the head over that expected from the length of the prompt alone.
  std::map<Key, double> head_;
  /// Mean time between events, in seconds.
  std::map<Key, double> event_interval_;
};

}  // namespace bamboodock
