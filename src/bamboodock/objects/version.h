#pragma once

#include <string>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Lifecycle stage of a version under live traffic.
enum class VersionStage : std::uint8_t {
  kActive,
  /// Sessions that began with the version continue; no new ones begin.
  kNoNewSessions,
  /// No new work at all.
  kWithdrawn,
};

/// Expected quality of a version for one kind of request.
struct KindQuality {
  std::string kind;
  Ratio quality;
};

/// Version of a model, with its price and expected quality.
struct Version {
  VersionId id;
  ModelId model;
  VersionStage stage = VersionStage::kActive;
  CostMicros cost_per_1k_prompt;
  CostMicros cost_per_1k_completion;
  /// Expected quality for requests of a kind that is not listed in `kinds`.
  Ratio quality{0.8};
  std::vector<KindQuality> kinds;

  /// Cost of a call, rounded up to whole micros.
  CostMicros Cost(Tokens prompt, Tokens completion) const;
  Ratio QualityFor(const std::string& kind) const;
};

}  // namespace bamboodock
