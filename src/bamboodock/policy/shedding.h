#pragma once

#include "bamboodock/core/units.h"
#include "bamboodock/policy/random.h"

namespace bamboodock {

/// Load shedding: refuses requests under overload, those of the lowest priority first.
class Shedding {
 public:
  /// Load at which requests of the highest priority begin to be refused: all concurrency slots are
  /// in use.
  static constexpr double kFullLoad = 1.0;
  /// Range of load over which the refusal probability of a class rises from 0 to 1, and the
  /// distance between the ranges of two classes. The gradual rise keeps admission from switching on
  /// and off with each load report.
  static constexpr double kClassWidth = 0.05;
  /// Classes with a higher number are shed together with this one, so that none is refused at
  /// moderate load.
  static constexpr int kLowestClass = 4;

  /// Probability that a request is refused.
  ///
  /// @param priority Priority class; lower numbers are shed later.
  /// @param load Share of all concurrency slots in use or requested; may exceed 1.
  static Ratio Refusal(int priority, Ratio load);

  static bool Admit(int priority, Ratio load, Random& random);
};

}  // namespace bamboodock
