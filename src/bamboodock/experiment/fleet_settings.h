#pragma once

#include <cstdint>

#include "bamboodock/core/units.h"
#include "bamboodock/experiment/fake_engine.h"
#include "bamboodock/policy/endpoint_strategy.h"

namespace bamboodock::experiment {

/// Bound on retries after a refused or failed attempt; `kNone` also excludes waiting for a free
/// endpoint.
enum class RetryMode : std::uint8_t { kNone, kBudget, kUnlimited };

/// Settings of a fake fleet.
struct FleetSettings {
  EndpointStrategy strategy = kDefaultEndpointStrategy;
  RetryMode retry = RetryMode::kBudget;
  /// Offered load as a share of what all engines can serve without cached prefixes.
  Ratio load{0.6};
  /// Whether the share of a returning availability zone rises gradually.
  bool zone_ramp = true;
  EngineParameters engine;
  Duration first_token_target = std::chrono::milliseconds(1200);
  Duration report_interval = std::chrono::milliseconds(1000);
  /// Delay until a load report reaches the entries.
  Duration report_delay = std::chrono::milliseconds(250);
  Duration request_deadline = std::chrono::seconds(30);
};

}  // namespace bamboodock::experiment
