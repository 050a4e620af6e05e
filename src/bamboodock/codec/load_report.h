#pragma once

#include <chrono>
#include <string>

#include "bamboodock/core/result.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Load that an endpoint reports at `/load`.
struct LoadReport {
  Concurrency running;
  Concurrency queued;
  bool warm = true;
  std::chrono::milliseconds age{0};
};

/// Fails with `kBadMessage`; a missing field keeps its default.
Result<LoadReport> DecodeLoadReport(const std::string& text);

}  // namespace bamboodock
