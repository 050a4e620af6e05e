#pragma once

#include <optional>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Share of requests that may use an availability zone, raised linearly after its return.
class ZoneRamp {
 public:
  /// @param initial Share right after the return.
  /// @param length Time until the whole share is given.
  ZoneRamp(Ratio initial, Duration length) : initial_(initial), length_(length) {}

  void Left() { out_ = true; }
  /// Begins the ramp; does nothing for a zone that has not left.
  void Returned(MonotonicTime now);

  Ratio Share(MonotonicTime now) const;

 private:
  Ratio initial_;
  Duration length_;
  bool out_ = false;
  std::optional<MonotonicTime> returned_;
};

}  // namespace bamboodock
