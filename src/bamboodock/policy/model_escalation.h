#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/routing/route.h"

namespace bamboodock {

/// Selects the first model of a request and escalates to the largest model of the route when the
/// confidence of an answer is too low.
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
    if (*confidence >= LeastConfidence(route, 0)) return std::nullopt;
    return models.back();
  }

  /// Confidence below which an answer is discarded while the engines of the largest model have
  /// `pending` prompt tokens to read, on average. It falls with load, when capacity of the largest
  /// model is scarce.
  double LeastConfidence(const Route& route, double pending) const {
    const std::size_t index =
        std::min<std::size_t>(route.priority.value(), least_confidence_.size() - 1);
    const double load = (pending - kLowPending) / (kFullPending - kLowPending);
    return least_confidence_[index] * (1 - std::clamp(load, 0.0, 1.0));
  }

 private:
  /// Pending prompt tokens of an engine up to which the confidence is not reduced, and from which
  /// the largest model is not used any more: about 0.25 s and 2 s of reading.
  static constexpr double kLowPending = 4000;
  static constexpr double kFullPending = 32000;

  std::vector<std::uint32_t> least_confidence_;
};

}  // namespace bamboodock
