#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "bamboodock/policy/evidence_counters.h"

namespace bamboodock {

/// Limits above which a version counts as worse than the old one.
struct ComparisonLimits {
  /// Prior of the share of bad answers of the old version, and its weight in answers.
  double prior_share = 0.01;
  double prior_weight = 50;
  /// Minimum difference of the shares, in standard errors.
  double min_z_score = 3.5;
  /// Minimum difference of the shares.
  double min_excess = 0.03;
  /// Minimum number of bad answers.
  std::uint64_t min_bad = 4;
};

/// Pooled two-proportion z-test, one-sided: whether the share of bad answers of the new version,
/// `bad` of `answers`, is significantly higher than that of the old version.
///
/// Both versions are measured at the same time, so load and faults that affect both cancel out.
inline bool IsWorse(const ComparisonLimits& limits, std::uint64_t bad, std::uint64_t answers,
                    std::uint64_t old_bad, std::uint64_t old_answers) {
  if (bad < limits.min_bad || answers == 0) return false;
  const auto n = static_cast<double>(answers);
  const double old_n = static_cast<double>(old_answers) + limits.prior_weight;
  const double old_total = static_cast<double>(old_bad) + limits.prior_share * limits.prior_weight;
  const double share = static_cast<double>(bad) / n;
  const double old_share = old_total / old_n;
  const double pooled = std::min(0.999, (static_cast<double>(bad) + old_total) / (n + old_n));
  const double error = std::sqrt(pooled * (1 - pooled) * (1 / n + 1 / old_n));
  return share - old_share > limits.min_excess && share - old_share > limits.min_z_score * error;
}

/// How sure a finding about a version must be.
enum class Certainty : std::uint8_t {
  /// Sure enough to withdraw the version.
  kProof,
  /// Sure enough not to give it all traffic.
  kSuspicion,
};

/// Whether the new version, `target`, fails or is slow significantly more often than the old one.
inline bool IsWorseVersion(const EvidenceCounters& target, const EvidenceCounters& old,
                           Certainty certainty = Certainty::kProof) {
  // One in eight answers of a healthy engine that reads long prompts is slow.
  ComparisonLimits errors{0.01, 50, 4.0, 0.03, 5};
  ComparisonLimits slow{0.12, 50, 3.5, 0.12, 8};
  // Silence is much rarer than lateness among healthy engines, so it is compared on its own.
  ComparisonLimits silent{0.03, 50, 3.5, 0.1, 4};
  // With many streams, one in four streams of a healthy engine is slow.
  ComparisonLimits slow_streams{0.25, 20, 3.5, 0.3, 5};
  ComparisonLimits quartile{0.25, 20, 3.5, 0.3, 5};
  if (certainty == Certainty::kSuspicion) {
    constexpr double kSuspicionZScore = 2.0;
    constexpr std::uint64_t kSuspicionMinBad = 3;
    for (ComparisonLimits* limits : {&errors, &slow, &silent, &slow_streams, &quartile}) {
      limits->min_z_score = kSuspicionZScore;
      limits->min_bad = kSuspicionMinBad;
    }
  }
  return IsWorse(errors, target.errors, target.answers, old.errors, old.answers) ||
         IsWorse(slow, target.slow, target.answers, old.slow, old.answers) ||
         IsWorse(silent, target.silent, target.answers, old.silent, old.answers) ||
         IsWorse(slow_streams, target.slow_streams, target.streams, old.slow_streams,
                 old.streams) ||
         IsWorse(quartile, target.above_quartile, target.paced, old.above_quartile, old.paced);
}

}  // namespace bamboodock
