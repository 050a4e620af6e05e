#include "bamboodock/policy/threshold_chooser.h"

namespace bamboodock {

std::optional<std::size_t> ThresholdChooser::Next(const VersionQuery& query,
                                                  Random& /*random*/) const {
  const std::size_t next = query.rejected ? *query.rejected + 1 : 0;
  if (next >= query.steps.size() || query.steps_taken >= query.max_steps) return std::nullopt;
  return next;
}

}  // namespace bamboodock
