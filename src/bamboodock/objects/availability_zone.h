#pragma once

#include <string>

#include "bamboodock/core/ids.h"

namespace bamboodock {

/// Availability zone of a region.
struct AvailabilityZone {
  AvailabilityZoneId id;
  std::string region;
  /// Whether operators have taken the zone out of service; it receives no new work.
  bool drained = false;
};

}  // namespace bamboodock
