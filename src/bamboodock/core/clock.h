#pragma once

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Source of time; decision code receives it so that tests can inject a fake.
class Clock {
 public:
  virtual ~Clock() = default;
  /// Monotonic time, for ages and deadlines.
  virtual MonotonicTime Now() const = 0;
  /// Wall-clock time, for timelines and records.
  virtual WallTime Wall() const = 0;
};

/// Clock of the operating system.
class SystemClock final : public Clock {
 public:
  MonotonicTime Now() const override { return std::chrono::steady_clock::now(); }
  WallTime Wall() const override { return std::chrono::system_clock::now(); }
};

}  // namespace bamboodock
