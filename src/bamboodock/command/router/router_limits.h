#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "bamboodock/command/router/rollout_controller.h"
#include "bamboodock/core/units.h"
#include "bamboodock/policy/repeat_budget.h"

namespace bamboodock {

/// Limits of the deployment; set by flags.
struct RouterLimits {
  RepeatLimits repeats;
  ExposureLimits exposure;
  /// A cold endpoint tolerates this multiple of its rate plus `cold_tolerance` requests per second.
  double cold_overrun = 1.5;
  double cold_tolerance = 5;
  /// Requests that need an API key are refused when the configuration is older than this.
  Duration max_config_age = std::chrono::milliseconds(3750);
  /// A session keeps its version while its requests follow each other within this time.
  Duration session_timeout = std::chrono::seconds(5);
  /// Confidence (0 to 100) below which an answer is discarded for that of a larger model, by
  /// priority.
  std::vector<std::uint32_t> least_confidence{60};
};

}  // namespace bamboodock
