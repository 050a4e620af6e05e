#pragma once

#include "bamboodock/core/clock.h"

namespace bamboodock {

/// Clock that changes only through `Advance`; starts at 1000 s.
class FakeClock final : public Clock {
 public:
  MonotonicTime Now() const override { return now_; }
  WallTime Wall() const override { return WallTime(now_.time_since_epoch()); }
  void Advance(Duration step) { now_ += step; }

 private:
  MonotonicTime now_{std::chrono::seconds(1000)};
};

}  // namespace bamboodock
