#include "bamboodock/policy/cheapest_step_chooser.h"

namespace bamboodock {

std::optional<std::size_t> CheapestStepChooser::Next(const VersionQuery& query,
                                                     Random& /*random*/) const {
  if (query.rejected || query.steps.empty()) return std::nullopt;
  return 0;
}

}  // namespace bamboodock
