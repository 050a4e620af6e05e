#pragma once

#include <string>

#include "bamboodock/core/units.h"
#include "bamboodock/transport/address.h"

namespace bamboodock::load {

/// Stream to open, again and again, by one client.
struct StreamSettings {
  Address target;
  std::string api_key;
  std::string model;
  std::uint32_t tokens = 32;
  std::uint64_t first_prompt = 0;
};

/// What one stream took.
struct StreamSample {
  bool complete = false;
  Duration first_event{};
  Duration total{};
  std::uint64_t events = 0;
};

/// Opens one chat stream and reads it to the end mark.
///
/// @param ordinal Makes prompts differ, so that the engine's prefix cache is not the measure.
StreamSample RunStream(const StreamSettings& settings, std::uint64_t ordinal);

}  // namespace bamboodock::load
