#pragma once

#include <xxhash.h>

#include <string_view>

#include "bamboodock/routing/peer_report.h"

namespace bamboodock {

/// Hash of a text; equal on all entries.
inline std::uint64_t RoutingHash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

/// Hash of a text as a number in [0, 1); equal on all entries.
inline double SampleFromHash(std::string_view text) {
  constexpr double kRange = 18446744073709551616.0;
  return static_cast<double>(RoutingHash(text)) / kRange;
}

inline SessionHash HashSession(const SessionId& session) {
  return SessionHash(static_cast<std::uint32_t>(RoutingHash(session.value())));
}

}  // namespace bamboodock
