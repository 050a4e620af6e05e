#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "bamboodock/core/quantity.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Hash of the id of a prompt part.
using PromptPartHash = Quantity<struct PromptPartHashTag, std::uint64_t>;
/// Hash of an endpoint's id and start time.
using EndpointLifetimeHash = Quantity<struct EndpointLifetimeHashTag, std::uint32_t>;
/// Hash of the id of a request.
using RequestHash = Quantity<struct RequestHashTag, std::uint32_t>;

/// An answer that was lost with its connection before it was under way.
struct LostAnswer {
  EndpointLifetimeHash endpoint;
  RequestHash request;
  MonotonicTime at{};
};

/// What is known of one prompt part that occurred in lost answers.
struct PromptPartEvidence {
  PromptPartHash part;
  /// Position of the part in the prompt, from 0; parts at higher positions are shared by fewer
  /// requests.
  std::uint32_t position = 0;
  /// When an answer to a prompt with the part was last under way; empty when that is not known.
  std::optional<MonotonicTime> survived_at;
  /// Oldest first.
  std::vector<LostAnswer> losses;
};

}  // namespace bamboodock
