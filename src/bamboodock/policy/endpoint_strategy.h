#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>

#include "bamboodock/policy/endpoint_chooser.h"

namespace bamboodock {

enum class EndpointStrategy : std::uint8_t {
  kRandom,
  kRoundRobin,
  kLeastReportedLoad,
  kTwoChoices,
  kRendezvous,
  kAffinityTwoChoices,
};

inline constexpr std::array kEndpointStrategies = {
    EndpointStrategy::kRandom,
    EndpointStrategy::kRoundRobin,
    EndpointStrategy::kLeastReportedLoad,
    EndpointStrategy::kTwoChoices,
    EndpointStrategy::kRendezvous,
    EndpointStrategy::kAffinityTwoChoices,
};

/// Strategy with the lowest 95th percentile of the time to first token in docs/measurements.md.
inline constexpr EndpointStrategy kDefaultEndpointStrategy = EndpointStrategy::kAffinityTwoChoices;

/// Lower-case name of a strategy, for example "two_choices".
std::string_view Name(EndpointStrategy strategy);

std::unique_ptr<EndpointChooser> MakeEndpointChooser(
    EndpointStrategy strategy = kDefaultEndpointStrategy);

}  // namespace bamboodock
