#pragma once

#include <utility>
#include <vector>

#include "bamboodock/core/bounded_ring.h"
#include "bamboodock/core/ids.h"
#include "bamboodock/core/ref_counted.h"
#include "bamboodock/core/units.h"
#include "bamboodock/standin/prefix_cache.h"

namespace bamboodock::standin {

/// Step of a generation, as the engine reports it to the connection.
enum class GenerationEvent : std::uint8_t { kToken, kDone, kColdOverload, kQueueFull, kNotLoaded };

/// Beginning of a prompt, with the share of the prompt it makes up.
struct PromptPrefix {
  PrefixHash hash;
  Ratio share;
};

/// One answer in the making; joins a connection thread to the engine's duty by a bounded ring.
struct Generation : RefCounted<Generation> {
  /// Events that the engine may be ahead of a slow reader.
  static constexpr std::size_t kEventCapacity = 256;

  VersionId version;
  int priority = 1;
  Tokens length;
  std::vector<PromptPrefix> prefixes;
  BoundedRing<GenerationEvent> events{kEventCapacity};
};

}  // namespace bamboodock::standin
