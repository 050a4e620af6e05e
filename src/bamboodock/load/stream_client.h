#pragma once

#include <string>

#include "bamboodock/core/units.h"
#include "bamboodock/transport/address.h"

namespace bamboodock::load {

/// Target and content of the streams that the clients open.
struct StreamSettings {
  Address target;
  std::string api_key;
  std::string model;
  std::uint32_t tokens = 32;
  std::uint64_t first_prompt = 0;
};

/// Measurements of one stream; times are counted from the request.
struct StreamSample {
  /// Whether the stream ended with the end marker.
  bool complete = false;
  Duration first_event{};
  Duration total{};
  std::uint64_t events = 0;
};

/// Opens one chat stream and reads it up to the end marker. Returns an empty sample when the
/// connection fails.
///
/// @param ordinal Makes the prompts differ, so that the engine's prefix cache does not affect the
///                measurement.
StreamSample RunStream(const StreamSettings& settings, std::uint64_t ordinal);

}  // namespace bamboodock::load
