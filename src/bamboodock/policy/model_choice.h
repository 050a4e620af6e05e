#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <numbers>
#include <optional>
#include <utility>
#include <vector>

#include "bamboodock/core/units.h"
#include "bamboodock/policy/model_acceptances.h"
#include "bamboodock/routing/route.h"

namespace bamboodock {

/// Load that an answer of a larger model would meet.
struct EscalationConditions {
  /// Prompt tokens, at the price of the most expensive model, that an engine of the service has yet
  /// to read, on average.
  double pending_tokens = 0;
  /// Part of the repeat budget that is used up.
  Ratio budget_used{0.0};
};

/// Model of a route as a candidate for the next attempt.
struct ModelCandidate {
  /// Zero when the configuration states none.
  double price = 0;
  /// Whether its answer can end before the deadline.
  bool in_time = true;
};

/// Decides whether an answer is good enough, and which model of a route is asked next.
///
/// Load patterns:
/// - Answers of small models with a low confidence: the next model is the one with the least
///   expected price until an answer suffices, so sizes between are asked where they save.
/// - Engines with long queues, or failures that need the repeat budget: only the answers with the
///   lowest confidence are escalated.
/// - Answers so long that a large model may not end before the deadline: it is asked only while
///   that is less likely to fail the caller than the answer in hand.
class ModelChoice {
 public:
  static constexpr Ratio kEvenChance{0.5};

  /// What is known about a request when its next model is chosen.
  struct Situation {
    RouteHash route;
    /// Position of the model whose answer did not suffice; empty before the first answer.
    std::optional<std::size_t> previous;
    /// Further attempts that the request may make.
    std::uint32_t attempts_left = 1;
  };

  /// @param least_confidence Confidence, 0 to 100, below which an answer is discarded for that of a
  /// larger model; indexed by priority, the last value applies to all higher indexes. Must not be
  /// empty.
  explicit ModelChoice(std::vector<std::uint32_t> least_confidence)
      : least_confidence_(std::move(least_confidence)) {}

  /// Confidence below which an answer is discarded. It falls with the load of the engines and as
  /// the repeat budget is used up.
  double LeastConfidence(const Route& route, const EscalationConditions& conditions) const {
    const std::size_t index =
        std::min<std::size_t>(route.priority.value(), least_confidence_.size() - 1);
    const double load = Rise(conditions.pending_tokens, kLowPending, kFullPending);
    const double budget = Rise(conditions.budget_used.value(), kLowBudgetUse, kFullBudgetUse);
    return least_confidence_[index] * (1 - load) * (1 - budget);
  }

  /// Whether an answer with this confidence is good enough without regard to load.
  bool Suffices(const Route& route, std::uint32_t confidence) const {
    return confidence >= LeastConfidence(route, {});
  }

  /// Whether an answer of `model` is to be replaced by that of a larger model, if there is capacity
  /// and time for one.
  bool WantsLarger(const Route& route, const ModelId& model,
                   std::optional<std::uint32_t> confidence) const {
    return route.models.size() > 1 && model != route.models.back() && confidence &&
           !Suffices(route, *confidence);
  }

  /// Probability that an answer with this expected time ends before the deadline.
  ///
  /// The time is taken to be log-normal: the length that callers expect is often far off by a
  /// factor, and endpoints differ by one.
  static Ratio InTimeProbability(Duration expected, Duration left) {
    if (expected <= Duration::zero()) return Ratio(1);
    if (left <= Duration::zero()) return Ratio(0);
    const double ratio = static_cast<double>(left.count()) / static_cast<double>(expected.count());
    return Ratio(std::erfc(-std::log(ratio) / (kTimeSpread * std::numbers::sqrt2)) / 2);
  }

  /// Probability that an answer with this confidence (0 to 100) is good. The confidence is a rough
  /// opinion of the model itself, so it counts half, beside an even chance.
  static Ratio GoodProbability(std::uint32_t confidence) {
    constexpr double kPercent = 100;
    return Ratio((confidence / kPercent + kEvenChance.value()) / 2);
  }

  /// Whether the answer is likely enough to end before the deadline.
  ///
  /// @param least Probability that it must exceed. With an answer in hand that is the probability
  /// that this one is good, since the caller gets only one of the two.
  static bool IsInTime(Duration expected, Duration left, Ratio least = kEvenChance) {
    return InTimeProbability(expected, left) > least;
  }

  /// Position of the model to ask next; empty when the answer in hand is to be delivered. A first
  /// model is always named.
  ///
  /// @param candidates Models of the route, smallest first; must not be empty.
  static std::optional<std::size_t> Next(const std::vector<ModelCandidate>& candidates,
                                         const Situation& situation,
                                         const ModelAcceptances& acceptances, MonotonicTime now) {
    const bool first = !situation.previous;
    const std::optional<std::size_t> chosen =
        HasPrices(candidates) ? Cheapest(candidates, situation, acceptances, now)
                              : WithoutPrices(candidates, situation);
    return first ? chosen.value_or(0) : chosen;
  }

 private:
  /// Rises from 0 at `low` to 1 at `high`.
  static double Rise(double value, double low, double high) {
    return std::clamp((value - low) / (high - low), 0.0, 1.0);
  }

  static bool HasPrices(const std::vector<ModelCandidate>& candidates) {
    return std::all_of(candidates.begin(), candidates.end(),
                       [](const auto& candidate) { return candidate.price > 0; });
  }

  static std::optional<std::size_t> WithoutPrices(const std::vector<ModelCandidate>& candidates,
                                                  const Situation& situation) {
    if (!situation.previous) return 0;
    const bool larger = *situation.previous + 1 < candidates.size();
    return larger && candidates.back().in_time ? std::optional(candidates.size() - 1)
                                               : std::nullopt;
  }

  static std::optional<std::size_t> Cheapest(const std::vector<ModelCandidate>& candidates,
                                             const Situation& situation,
                                             const ModelAcceptances& acceptances,
                                             MonotonicTime now) {
    const std::size_t last = candidates.size() - 1;
    const auto probability = [&](std::size_t model, std::optional<std::size_t> previous) {
      if (model == last) return 1.0;
      return acceptances.Probability(situation.route, model, previous, now).value();
    };
    // Expected further price after an answer of each model that does not suffice.
    std::vector<double> after(candidates.size(), 0.0);
    const auto choose = [&](std::optional<std::size_t> previous, std::uint32_t attempts) {
      std::pair<std::optional<std::size_t>, double> best{std::nullopt, 0.0};
      for (std::size_t i = previous ? *previous + 1 : 0; i <= last; ++i) {
        const double suffices = probability(i, previous);
        if (!IsWorthwhile(candidates, i, previous, suffices, attempts)) continue;
        const double price = candidates[i].price + (1 - suffices) * after[i];
        // Each answer that does not suffice delays the caller, so a size between must save clearly.
        const bool detour = previous && i < last && candidates[last].in_time;
        if (detour && price > (1 - kLeastSaving) * candidates[last].price) continue;
        if (!best.first || price < best.second) best = {i, price};
      }
      return best;
    };
    const std::size_t begin = situation.previous ? *situation.previous + 1 : 0;
    for (std::size_t i = last; i-- > begin;) after[i] = choose(i, kManyAttempts).second;
    return choose(situation.previous, situation.attempts_left).first;
  }

  /// Whether a model comes into question at all.
  static bool IsWorthwhile(const std::vector<ModelCandidate>& candidates, std::size_t model,
                           std::optional<std::size_t> previous, double suffices,
                           std::uint32_t attempts) {
    if (!candidates[model].in_time) return false;
    if (!previous) return true;
    const ModelCandidate& largest = candidates.back();
    // The largest model must still be possible after one that does not suffice. Without time for
    // it, a smaller one may cost as much for each answer that suffices as the largest.
    const bool largest_follows = largest.in_time && attempts >= kAttemptsForTwoModels;
    if (&candidates[model] == &largest || largest_follows) return true;
    return !largest.in_time && candidates[model].price <= suffices * largest.price;
  }

  /// Pending prompt tokens of an engine up to which the confidence is not reduced, and from which
  /// larger models are not used any more: about 0.25 s and 2 s of reading.
  static constexpr double kLowPending = 4000;
  static constexpr double kFullPending = 32000;
  /// Used part of the repeat budget up to which the confidence is not reduced, and from which the
  /// rest is kept for requests that failed.
  static constexpr double kLowBudgetUse = 0.7;
  static constexpr double kFullBudgetUse = 0.9;
  /// Standard deviation of the logarithm of the time of an answer around its estimate.
  static constexpr double kTimeSpread = 0.5;
  static constexpr std::uint32_t kAttemptsForTwoModels = 2;
  /// Part of the price of the largest model that a size between must be expected to save.
  static constexpr double kLeastSaving = 0.08;
  /// The price after a model is estimated as if attempts were not limited.
  static constexpr std::uint32_t kManyAttempts = 8;

  std::vector<std::uint32_t> least_confidence_;
};

}  // namespace bamboodock
