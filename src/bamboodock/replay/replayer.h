#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "bamboodock/core/result.h"
#include "bamboodock/replay/trace.h"

namespace bamboodock {

/// Expectation of a trace that was not met.
struct TraceMismatch {
  std::size_t line = 0;
  std::string expected;
  std::string got;
};

struct ReplayReport {
  std::size_t events = 0;
  std::size_t expectations = 0;
  std::vector<TraceMismatch> mismatches;
};

/// Feeds a trace to the rules, one instance for each rule and process, and compares outcomes. The
/// event `restart` gives a process new instances. Fails with `kBadMessage` on an event that no
/// rule knows.
Result<ReplayReport> Replay(const Trace& trace);

}  // namespace bamboodock
