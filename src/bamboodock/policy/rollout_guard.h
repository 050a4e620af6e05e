#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "bamboodock/policy/evidence_counters.h"
#include "bamboodock/policy/sequential_test.h"

namespace bamboodock {

enum class EvidenceSignal : std::uint8_t { kErrors, kRatings, kSlowAnswers };

/// Limits of the tests, by signal.
struct RolloutLimits {
  SequentialLimits errors{Ratio(0.01), Ratio(0.10)};
  SequentialLimits ratings{Ratio(0.10), Ratio(0.25)};
  SequentialLimits slow{Ratio(0.05), Ratio(0.25)};
};

/// Watches one version under live traffic and says when to withdraw it.
class RolloutGuard {
 public:
  explicit RolloutGuard(const RolloutLimits& limits = {});

  /// Judges the version's merged evidence; the signal that calls for withdrawal, if any.
  std::optional<EvidenceSignal> Observe(const EvidenceCounters& total);

 private:
  struct Row {
    EvidenceSignal signal;
    std::uint64_t EvidenceCounters::*observations;
    std::uint64_t EvidenceCounters::*bad;
  };

  static const std::array<Row, 3> kRows;

  std::array<SequentialTest, 3> tests_;
  EvidenceCounters seen_;
};

}  // namespace bamboodock
