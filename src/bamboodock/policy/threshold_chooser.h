#pragma once

#include "bamboodock/policy/version_chooser.h"

namespace bamboodock {

/// Starts each request at the cheapest step and escalates by one step per rejected answer.
class ThresholdChooser final : public VersionChooser {
 public:
  std::optional<std::size_t> Next(const VersionQuery& query, Random& random) const override;
};

}  // namespace bamboodock
