#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Decides with which model of a route a request begins and whether an answer is good enough.
///
/// The ladder has two steps, the smallest and the largest model: on both deployments the middle one
/// costs half of the largest and answers few more requests well than the smallest.
class ModelLadder {
 public:
  /// @param least_confidence Confidence, 0 to 100, below which an answer of the smallest model is
  /// dropped.
  explicit ModelLadder(std::uint32_t least_confidence) : least_confidence_(least_confidence) {}

  /// Model of the first send; empty when the route names none.
  static ModelId First(const std::vector<ModelId>& models) {
    return models.empty() ? ModelId() : models.front();
  }

  /// Model that is to answer in place of `model`; empty when the answer is good enough.
  std::optional<ModelId> Next(const std::vector<ModelId>& models, const ModelId& model,
                              std::optional<std::uint32_t> confidence) const {
    if (models.size() < 2 || model == models.back() || !confidence) return std::nullopt;
    if (*confidence >= least_confidence_) return std::nullopt;
    return models.back();
  }

 private:
  std::uint32_t least_confidence_;
};

}  // namespace bamboodock
