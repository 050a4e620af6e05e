#pragma once

#include <cstddef>
#include <optional>
#include <span>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"
#include "bamboodock/policy/overload_level.h"
#include "bamboodock/policy/quality.h"
#include "bamboodock/policy/request_kind.h"

namespace bamboodock {

/// Step of a cascade that the client account allows and that has a healthy endpoint.
struct StepOption {
  VersionId version;
  CostMicros expected_cost;
  Duration expected_latency{};
  /// Quality of the answers that pass the check when the request starts here.
  Quality quality;
  /// Quality of the answers after escalation from an earlier step; such requests are harder.
  Quality quality_escalated;
  /// Share of answers that pass the check.
  Ratio acceptance{1.0};
};

/// State of a request when its next version is chosen.
struct VersionQuery {
  RequestKind kind;
  /// Allowed steps, cheapest first.
  std::span<const StepOption> steps;
  /// Step whose answer was rejected last; empty for a new request.
  std::optional<std::size_t> rejected;
  StepNumber steps_taken{0};
  StepNumber max_steps{2};
  Ratio quality_target{0.9};
  Duration remaining{};
  OverloadLevel overload = OverloadLevel::kNormal;
};

}  // namespace bamboodock
