#pragma once

#include <cstdint>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Rates of bad observations and error probabilities of a sequential test.
struct SequentialLimits {
  /// Rate of bad observations that is normal.
  Ratio acceptable;
  /// Rate at which the version must be withdrawn.
  Ratio unacceptable;
  /// Probability that one test rejects an acceptable version. Tests restart continuously, so this
  /// is far below the intended rate of false withdrawals per rollout.
  Ratio false_alarm{1e-6};
  /// Probability that one test accepts an unacceptable version; the next test begins at once. A
  /// high value keeps the test near its start while the version is good, so that a change is found
  /// sooner: over 200 seeds, 0.3 instead of 0.05 lowered the mean number of bad answers until
  /// rejection from 14.3 to 13.4.
  Ratio miss{0.3};
};

/// Sequential probability ratio test (Wald 1945) on bad observations, restarted when it accepts.
///
/// Without the restart, the bad answers of a version that turns bad would first have to outweigh
/// all of its earlier good answers.
class SequentialTest {
 public:
  explicit SequentialTest(SequentialLimits limits);

  /// Adds observations; true once the test has rejected the version. The rejection is permanent.
  bool Add(std::uint64_t good, std::uint64_t bad);

  bool rejected() const { return rejected_; }

 private:
  double step_good_;
  double step_bad_;
  double reject_at_;
  double accept_at_;
  double log_ratio_ = 0;
  bool rejected_ = false;
};

}  // namespace bamboodock
