#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>

#include "bamboodock/policy/version_chooser.h"

namespace bamboodock {

enum class VersionStrategy : std::uint8_t {
  kCascade,
  kAlwaysBest,
  kAlwaysCheapest,
  kFixedThreshold,
};

inline constexpr std::array kVersionStrategies = {
    VersionStrategy::kCascade,
    VersionStrategy::kAlwaysBest,
    VersionStrategy::kAlwaysCheapest,
    VersionStrategy::kFixedThreshold,
};

/// Lower-case name of a strategy, for example "always_best".
std::string_view Name(VersionStrategy strategy);

std::unique_ptr<VersionChooser> MakeVersionChooser(
    VersionStrategy strategy = VersionStrategy::kCascade);

}  // namespace bamboodock
