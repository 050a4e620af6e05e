#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/routing/attempt_plan.h"

namespace bamboodock {

/// Answer whose time is to be estimated.
struct AnswerToExpect {
  RouteId route;
  /// Models of the route with their prices, smallest first.
  std::vector<PricedModel> models;
  /// Largest number of output tokens that the caller accepts; 0 when it is not stated.
  Tokens max_output_tokens;
  std::optional<Tokens> expected_output_tokens;
};

/// Estimated time from the start of an attempt to its last event.
struct AnswerEstimate {
  Duration time{};
  /// Whether the model itself has not been observed lately, so that only asking it shows more.
  bool assumed = false;
};

/// Estimates how long a model takes for the whole answer to a request.
///
/// Load pattern: busy or slow engines generate so slowly that the longest answers of a large model
/// cannot end before their deadline, and the start of a deployment, when only answers of the
/// smallest model have begun.
class StreamPace {
 public:
  /// Learns from one attempt, complete or not, or from an attempt under way.
  void Learn(const AttemptReport& report, MonotonicTime now);

  /// Expected time of the model at position `model`; empty until one stream has ended and events of
  /// this model or a smaller one are known.
  std::optional<AnswerEstimate> Expected(const AnswerToExpect& answer, std::size_t model,
                                         MonotonicTime now) const;

  /// Expected events of an answer; 0 until a stream has ended.
  double ExpectedEvents(const AnswerToExpect& answer) const;

 private:
  /// Smoothed mean of a value.
  struct Mean {
    double value = 0;
    std::uint32_t count = 0;
    MonotonicTime updated{};

    void Add(double sample, MonotonicTime now);
  };
  /// Times of one model, in seconds.
  struct Pace {
    Mean head;
    Mean interval;
  };
  using Key = std::pair<RouteId, ModelId>;

  /// Pace of the model on the route, or else on all routes; an old one only if there is no other.
  /// Null when there is none.
  const Pace* Find(const RouteId& route, const ModelId& model, MonotonicTime now) const;

  /// Mean events of a complete stream for each output token that its caller accepts, and for each
  /// that it expects; the empty route stands for all of them.
  std::map<RouteId, Mean> events_per_token_;
  std::map<RouteId, Mean> events_per_expected_token_;
  /// By route and model; the empty route stands for all of them.
  std::map<Key, Pace> paces_;
};

}  // namespace bamboodock
