#pragma once

#include "bamboodock/policy/version_chooser.h"

namespace bamboodock {

/// Starts with the cheapest plan, escalations included, that is expected to meet the quality
/// target; when none is, with the plan of highest quality.
///
/// Qualities are drawn from their posteriors for each request (Thompson sampling): a step is tried
/// in proportion to the probability that it is sufficient, and so receives the ratings that show
/// whether it is. A plan is eligible when its steps end before the deadline. From `kElevated` on
/// the means are used. At `kSevere` a request gets one attempt, at the cheapest step within
/// `kDegradedShare` of the target.
class CascadeChooser final : public VersionChooser {
 public:
  static constexpr double kDegradedShare = 0.9;

  std::optional<std::size_t> Next(const VersionQuery& query, Random& random) const override;
};

}  // namespace bamboodock
