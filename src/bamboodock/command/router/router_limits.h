#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "bamboodock/command/router/rollout_controller.h"
#include "bamboodock/core/units.h"
#include "bamboodock/policy/repeat_budget.h"

namespace bamboodock {

/// Bounds that the deployment states; set by flags.
struct RouterLimits {
  RepeatLimits repeats;
  ExposureLimits exposure;
  /// Multiple of a cold endpoint's rate, and requests besides, that it tolerates in a second.
  double cold_overrun = 1.5;
  std::uint32_t cold_tolerance = 5;
  /// Requests with an API key are refused when the configuration is older than this.
  Duration key_freshness = std::chrono::milliseconds(3750);
  /// Requests of a session that follow each other within this time keep their version.
  Duration session_time = std::chrono::seconds(5);
  /// Confidence below which an answer of the smallest model is dropped, by urgency.
  std::vector<std::uint32_t> least_confidence{60};
};

}  // namespace bamboodock
