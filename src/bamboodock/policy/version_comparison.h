#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "bamboodock/policy/evidence_counters.h"

namespace bamboodock {

/// When a version counts as worse than the one it is compared with.
struct ComparisonLimits {
  /// Share of bad answers that is assumed, with the weight of so many answers, until the old
  /// version has been seen.
  double usual = 0.01;
  double usual_weight = 50;
  /// Distance of the shares in standard errors.
  double distance = 3.5;
  /// Least excess of the new version's share.
  double excess = 0.03;
  /// Bad answers below which nothing is concluded.
  std::uint64_t least_bad = 4;
};

/// Pooled two-proportion z-test, one-sided: whether `bad` of `answers` of the new version are more
/// than the old version's share explains.
///
/// Both versions are measured at the same time, so load and faults that hit both cancel out.
inline bool IsWorse(const ComparisonLimits& limits, std::uint64_t bad, std::uint64_t answers,
                    std::uint64_t old_bad, std::uint64_t old_answers) {
  if (bad < limits.least_bad || answers == 0) return false;
  const auto n = static_cast<double>(answers);
  const double old_n = static_cast<double>(old_answers) + limits.usual_weight;
  const double old_total = static_cast<double>(old_bad) + limits.usual * limits.usual_weight;
  const double share = static_cast<double>(bad) / n;
  const double old_share = old_total / old_n;
  const double pooled = std::min(0.999, (static_cast<double>(bad) + old_total) / (n + old_n));
  const double error = std::sqrt(pooled * (1 - pooled) * (1 / n + 1 / old_n));
  return share - old_share > limits.excess && share - old_share > limits.distance * error;
}

/// Whether a version fails, or is slow, more often than the old one.
inline bool IsWorseVersion(const EvidenceCounters& target, const EvidenceCounters& old) {
  // An eighth of the answers of a sound engine that reads long prompts are slow.
  constexpr ComparisonLimits kErrors{0.01, 50, 4.0, 0.03, 5};
  constexpr ComparisonLimits kSlow{0.12, 50, 3.5, 0.12, 8};
  // An engine with many streams is slower than usual in a quarter of them.
  constexpr ComparisonLimits kSlowStreams{0.25, 20, 3.5, 0.3, 5};
  return IsWorse(kErrors, target.errors, target.answers, old.errors, old.answers) ||
         IsWorse(kSlow, target.slow, target.answers, old.slow, old.answers) ||
         IsWorse(kSlowStreams, target.slow_streams, target.streams, old.slow_streams, old.streams);
}

}  // namespace bamboodock
