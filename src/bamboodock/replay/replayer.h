#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "bamboodock/core/result.h"
#include "bamboodock/replay/trace.h"

namespace bamboodock {

/// Expectation of a trace that differs from the outcome of the event before it.
struct TraceMismatch {
  /// Line number of the expectation, counted from 1.
  std::size_t line = 0;
  std::string expected;
  std::string actual;
};

struct ReplayReport {
  std::size_t events = 0;
  std::size_t expectations = 0;
  std::vector<TraceMismatch> mismatches;
};

/// Applies the events of a trace to the rules, one instance for each rule and process, and compares
/// the outcomes with the expectations. The event `restart` discards the instances of a process.
/// Fails with `kBadMessage` and the line number on an unknown rule or event, and on an event with a
/// missing or malformed field.
Result<ReplayReport> Replay(const Trace& trace);

}  // namespace bamboodock
