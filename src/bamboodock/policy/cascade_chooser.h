#pragma once

#include "bamboodock/policy/version_chooser.h"

namespace bamboodock {

/// Starts at the step whose plan, with later escalations, is the cheapest expected to meet the
/// quality target; when none is, at the plan of highest quality.
///
/// Qualities are drawn from their posteriors for each request (Thompson sampling): a step that may
/// be sufficient is tried in proportion to the probability that it is, and gets the ratings that
/// decide. A plan fits when its steps end before the deadline. From `kElevated` on the means are
/// used. At `kSevere` a request gets one attempt, at the cheapest step within `kDegradedShare` of
/// the target.
class CascadeChooser final : public VersionChooser {
 public:
  static constexpr double kDegradedShare = 0.9;

  std::optional<std::size_t> Next(const VersionQuery& query, Random& random) const override;
};

}  // namespace bamboodock
