#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"
#include "bamboodock/routing/route.h"

namespace bamboodock {

/// What an escalation would meet.
struct EscalationConditions {
  /// Prompt tokens that an engine of the service has yet to read, on average.
  double pending_tokens = 0;
  /// Part of the repeat budget that is used up.
  Ratio budget_used{0.0};
  /// Expected time to the end of the larger model's answer; zero when it is not known.
  Duration expected{};
  /// Time until the request is given up.
  Duration left = Duration::max();
};

/// Selects the first model of a request and escalates to the largest model of the route when the
/// confidence of an answer is too low.
///
/// Load pattern: engines with long queues, or failures that need the repeat budget, while answers
/// of the smallest model have a low confidence. Answers with the lowest confidence are escalated
/// first.
///
/// Only the smallest and the largest model are used: on both deployments the middle one costs half
/// of the largest and answers few more requests well than the smallest.
class ModelEscalation {
 public:
  /// @param least_confidence Confidence, 0 to 100, below which an answer of the smallest model is
  /// discarded; indexed by priority, the last value applies to all higher indexes. Must not be
  /// empty.
  explicit ModelEscalation(std::vector<std::uint32_t> least_confidence)
      : least_confidence_(std::move(least_confidence)) {}

  /// Model of the first attempt, the first of `models`; empty when there is none.
  static ModelId First(const std::vector<ModelId>& models) {
    return models.empty() ? ModelId() : models.front();
  }

  /// Model to which an answer of `model` is escalated; empty when the answer is to be delivered.
  std::optional<ModelId> Next(const Route& route, const ModelId& model,
                              std::optional<std::uint32_t> confidence) const {
    const std::vector<ModelId>& models = route.models;
    if (models.size() < 2 || model == models.back() || !confidence) return std::nullopt;
    if (*confidence >= LeastConfidence(route, {})) return std::nullopt;
    return models.back();
  }

  /// Confidence below which an answer is discarded. It falls with the load of the engines and as
  /// the repeat budget is used up, and is zero when the larger model would not finish in time.
  double LeastConfidence(const Route& route, const EscalationConditions& conditions) const {
    const std::chrono::duration<double> usable = kUsableTime * Seconds(conditions.left);
    if (Seconds(conditions.expected) > usable) return 0;
    const std::size_t index =
        std::min<std::size_t>(route.priority.value(), least_confidence_.size() - 1);
    const double load = Rise(conditions.pending_tokens, kLowPending, kFullPending);
    const double budget = Rise(conditions.budget_used.value(), kLowBudgetUse, kFullBudgetUse);
    return least_confidence_[index] * (1 - load) * (1 - budget);
  }

 private:
  using Seconds = std::chrono::duration<double>;

  /// Rises from 0 at `low` to 1 at `high`.
  static double Rise(double value, double low, double high) {
    return std::clamp((value - low) / (high - low), 0.0, 1.0);
  }

  /// Pending prompt tokens of an engine up to which the confidence is not reduced, and from which
  /// the largest model is not used any more: about 0.25 s and 2 s of reading.
  static constexpr double kLowPending = 4000;
  static constexpr double kFullPending = 32000;
  /// Used part of the repeat budget up to which the confidence is not reduced, and from which the
  /// rest is kept for requests that failed.
  static constexpr double kLowBudgetUse = 0.7;
  static constexpr double kFullBudgetUse = 0.9;
  /// Part of the time left that the larger model's answer is expected to take at most.
  static constexpr double kUsableTime = 0.9;

  std::vector<std::uint32_t> least_confidence_;
};

}  // namespace bamboodock
