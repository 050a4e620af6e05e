#pragma once

#include "bamboodock/policy/version_chooser.h"

namespace bamboodock {

/// Starts at the step whose plan, with later escalations, is the cheapest expected to meet the
/// quality target; when none is, at the plan of highest quality.
///
/// A plan fits when its steps end before the deadline. At `kElevated` the margin for uncertainty
/// and the trial of uncertain steps are dropped. At `kSevere` a request gets one attempt, at the
/// cheapest step within `kDegradedShare` of the target.
class CascadeChooser final : public VersionChooser {
 public:
  /// Standard deviations by which the expected quality must exceed the target.
  static constexpr double kMargin = 1.0;
  /// Share of requests used to learn about a plan that may be sufficient but is not yet known to
  /// be; without it a pessimistic prior would never be corrected, as unused steps get no ratings.
  static constexpr double kTrialShare = 0.02;
  static constexpr double kDegradedShare = 0.9;

  std::optional<std::size_t> Next(const VersionQuery& query, Random& random) const override;
};

}  // namespace bamboodock
