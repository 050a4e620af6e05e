#pragma once

#include "bamboodock/core/units.h"
#include "bamboodock/policy/random.h"

namespace bamboodock {

/// Refuses requests under overload, those of the lowest priority first.
class Shedding {
 public:
  /// Load at which the most important class begins to be refused: every place is in use.
  static constexpr double kFullLoad = 1.0;
  /// Distance in load between one class and the next, and over which a class is shed gradually, so
  /// that admission does not switch on and off with each load report.
  static constexpr double kClassWidth = 0.05;
  /// Classes below this one are shed together, so that none is refused at moderate load.
  static constexpr int kLowestClass = 4;

  /// Probability that a request is refused.
  /// @param priority Scheduling class; a lower number is shed last.
  /// @param load Share of all places in use or requested; may exceed 1.
  static Ratio Refusal(int priority, Ratio load);

  static bool Admit(int priority, Ratio load, Random& random);
};

}  // namespace bamboodock
