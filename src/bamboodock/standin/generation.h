#pragma once

#include <utility>
#include <vector>

#include "bamboodock/core/bounded_ring.h"
#include "bamboodock/core/ids.h"
#include "bamboodock/core/ref_counted.h"
#include "bamboodock/core/units.h"
#include "bamboodock/standin/prefix_cache.h"

namespace bamboodock::standin {

/// Progress or refusal of a generation, as the engine reports it to the connection thread.
enum class GenerationEvent : std::uint8_t { kToken, kDone, kColdOverload, kQueueFull, kNotLoaded };

/// Prefix of a prompt and the share of the prompt that it covers.
struct PromptPrefix {
  PrefixHash hash;
  Ratio share;
};

/// Answer being generated. The engine's duty passes its events to the connection thread through a
/// bounded ring.
struct Generation : RefCounted<Generation> {
  /// Number of events by which the engine may be ahead of a slow reader.
  static constexpr std::size_t kEventCapacity = 256;

  VersionId version;
  int priority = 1;
  Tokens length;
  std::vector<PromptPrefix> prefixes;
  BoundedRing<GenerationEvent> events{kEventCapacity};
};

}  // namespace bamboodock::standin
