#pragma once

#include <optional>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Share of requests that may use an availability zone; rises linearly after the zone returns to
/// service.
class ZoneRamp {
 public:
  /// @param initial Share immediately after the return.
  /// @param duration Time from the return until the share is 1.
  ZoneRamp(Ratio initial, Duration duration) : initial_(initial), duration_(duration) {}

  void MarkUnavailable() { unavailable_ = true; }
  /// Begins the ramp; has no effect for a zone that has not left service.
  void MarkAvailable(MonotonicTime now);

  Ratio Share(MonotonicTime now) const;

 private:
  Ratio initial_;
  Duration duration_;
  bool unavailable_ = false;
  std::optional<MonotonicTime> returned_at_;
};

}  // namespace bamboodock
