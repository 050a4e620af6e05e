#pragma once

#include <cstdint>

#include "bamboodock/core/units.h"
#include "bamboodock/experiment/fake_engine.h"
#include "bamboodock/policy/endpoint_strategy.h"

namespace bamboodock::experiment {

enum class RetryMode : std::uint8_t { kNone, kBudget, kUnlimited };

/// Settings of a fake fleet.
struct FleetSettings {
  EndpointStrategy strategy = kDefaultEndpointStrategy;
  RetryMode retry = RetryMode::kBudget;
  /// Offered load as a share of what all engines can do without cached prefixes.
  Ratio load{0.6};
  /// Whether a returning availability zone gets its share step by step.
  bool zone_ramp = true;
  EngineParameters engine;
  Duration first_token_target = std::chrono::milliseconds(1200);
  Duration report_interval = std::chrono::milliseconds(1000);
  /// Delay of a load report, in addition to its age.
  Duration report_delay = std::chrono::milliseconds(250);
  Duration request_deadline = std::chrono::seconds(30);
};

}  // namespace bamboodock::experiment
