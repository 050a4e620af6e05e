#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "process/support/play_record.h"

namespace bamboodock::process_test {

/// Kind of a step; also the index of its handler in `ReturnPlay`.
enum class PlayAction : std::uint8_t {
  kChangeConfig,
  kRewriteConfig,
  kRegister,
  kRenew,
  kDrain,
  kRemove,
  kRestate,
  kTakeCopy,
  kSkipRevisions,
  kGoAway,
  kReturn,
  kFreeze,
  kWake,
};

struct PlayStep {
  PlayTime at{};
  PlayAction action{};
  /// Endpoint, router, number of revisions, or 1 when the operator writes all lost versions again
  /// and not only the newest one.
  std::size_t argument = 0;
};

/// Steps of a play with returns of the store, chosen by a seed.
struct ReturnPlan {
  std::vector<PlayStep> steps;
  /// Number of endpoints that are registered at the start.
  std::size_t first_endpoints = 6;
  /// Endpoints that are alive at the end.
  std::set<std::size_t> alive;
};

inline constexpr std::size_t kPlayRouters = 3;
inline constexpr std::size_t kPlayEndpoints = 8;

ReturnPlan MakeReturnPlan(std::uint64_t seed);

}  // namespace bamboodock::process_test
