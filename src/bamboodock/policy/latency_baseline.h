#pragma once

#include <map>
#include <utility>

#include "bamboodock/core/ids.h"
#include "bamboodock/policy/upper_quartile.h"
#include "bamboodock/routing/attempt_plan.h"

namespace bamboodock {

/// Smoothed baseline of answer latencies by route and model.
class LatencyBaseline {
 public:
  /// Head latency divided by its baseline. The first answer of a route and model sets the baseline,
  /// so its ratio is 1. The report must have a head latency.
  double HeadLatencyRatio(const AttemptReport& report);
  /// Updates the baseline with the latencies of an answer.
  void Learn(const AttemptReport& report);
  /// Result of the comparison of an answer with the baseline.
  struct Verdict {
    bool late_head = false;
    bool slow_events = false;
    /// Whether the events were slow already when the answer came under way.
    bool slow_early_events = false;
    /// Whether they were then slower than three quarters of the streams of the baseline.
    bool above_quartile = false;
  };
  Verdict Judge(const AttemptReport& report) const;

 private:
  using Key = std::pair<RouteId, ModelId>;

  /// Mean head latency divided by that expected from the length of the prompt alone.
  std::map<Key, double> relative_head_latency_;
  /// Mean interval between events, in seconds.
  std::map<Key, double> event_interval_;
  /// Upper quartile of the interval between events when answers come under way, in seconds.
  std::map<Key, UpperQuartile> early_event_interval_;
};

}  // namespace bamboodock
