#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "bamboodock/policy/evidence_counters.h"
#include "bamboodock/policy/sequential_test.h"

namespace bamboodock {

enum class EvidenceSignal : std::uint8_t { kErrors, kRatings, kSlowAnswers };

/// Limits of the sequential tests, by signal.
struct RolloutLimits {
  SequentialLimits errors{Ratio(0.01), Ratio(0.10)};
  SequentialLimits ratings{Ratio(0.10), Ratio(0.25)};
  SequentialLimits slow{Ratio(0.05), Ratio(0.25)};
};

/// Tests one version under live traffic and reports when it must be withdrawn.
class RolloutGuard {
 public:
  explicit RolloutGuard(const RolloutLimits& limits = {});

  /// Tests the merged cumulative counts of the version; returns the first signal that requires a
  /// withdrawal, or empty.
  std::optional<EvidenceSignal> Observe(const EvidenceCounters& total);

 private:
  struct Row {
    EvidenceSignal signal;
    std::uint64_t EvidenceCounters::*observations;
    std::uint64_t EvidenceCounters::*bad;
  };

  static const std::array<Row, 3> kRows;

  std::array<SequentialTest, 3> tests_;
  EvidenceCounters last_observed_;
};

}  // namespace bamboodock
