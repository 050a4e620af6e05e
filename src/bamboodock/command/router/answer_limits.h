#pragma once

#include <cstdint>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Largest parts of an answer that the router holds in memory. An answer beyond a limit is given up
/// as broken, since an endpoint in trouble may send bytes without end.
struct AnswerLimits {
  /// Status line and headers of one head.
  Bytes head{32768};
  /// Body of an answer that is not a stream.
  Bytes body{4U << 20U};
  /// One event of a stream.
  Bytes event{262144};
  /// Interim (1xx) heads before the final one.
  std::uint32_t interim_heads = 8;
};

}  // namespace bamboodock
