#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/routing/route.h"

namespace bamboodock {

/// Decides with which model of a route a request begins and whether an answer is good enough.
///
/// The ladder has two steps, the smallest and the largest model: on both deployments the middle one
/// costs half of the largest and answers few more requests well than the smallest.
class ModelLadder {
 public:
  /// @param least_confidence Confidence, 0 to 100, below which an answer of the smallest model is
  /// dropped; one for each urgency from 0 on, the last one for all further ones. Must not be empty.
  explicit ModelLadder(std::vector<std::uint32_t> least_confidence)
      : least_confidence_(std::move(least_confidence)) {}

  /// Model of the first send; empty when the route names none.
  static ModelId First(const std::vector<ModelId>& models) {
    return models.empty() ? ModelId() : models.front();
  }

  /// Model that is to answer in place of `model`; empty when the answer is good enough.
  std::optional<ModelId> Next(const Route& route, const ModelId& model,
                              std::optional<std::uint32_t> confidence) const {
    const std::vector<ModelId>& models = route.models;
    if (models.size() < 2 || model == models.back() || !confidence) return std::nullopt;
    if (*confidence >= LeastConfidence(route, 0)) return std::nullopt;
    return models.back();
  }

  /// Confidence below which an answer is dropped while engines have `pending` prompt tokens of the
  /// largest model to read, on average. Under load the time of the large model is worth more.
  double LeastConfidence(const Route& route, double pending) const {
    const std::size_t rank =
        std::min<std::size_t>(route.priority.value(), least_confidence_.size() - 1);
    const double load = (pending - kCalmPending) / (kFullPending - kCalmPending);
    return least_confidence_[rank] * (1 - std::clamp(load, 0.0, 1.0));
  }

 private:
  /// Pending prompt tokens of an engine up to which the load does not count, and from which the
  /// largest model is not used any more: about a quarter of a second and two seconds of reading.
  static constexpr double kCalmPending = 4000;
  static constexpr double kFullPending = 32000;

  std::vector<std::uint32_t> least_confidence_;
};

}  // namespace bamboodock
