#pragma once

#include "bamboodock/policy/version_chooser.h"

namespace bamboodock {

/// Runs only the step of highest estimated quality.
class BestStepChooser final : public VersionChooser {
 public:
  std::optional<std::size_t> Next(const VersionQuery& query, Random& random) const override;
};

}  // namespace bamboodock
