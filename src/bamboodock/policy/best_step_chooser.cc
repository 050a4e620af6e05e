#include "bamboodock/policy/best_step_chooser.h"

#include <algorithm>

namespace bamboodock {

std::optional<std::size_t> BestStepChooser::Next(const VersionQuery& query,
                                                 Random& /*random*/) const {
  if (query.rejected || query.steps.empty()) return std::nullopt;
  const auto best = std::max_element(
      query.steps.begin(), query.steps.end(),
      [](const StepOption& a, const StepOption& b) { return a.quality.mean < b.quality.mean; });
  return static_cast<std::size_t>(best - query.steps.begin());
}

}  // namespace bamboodock
