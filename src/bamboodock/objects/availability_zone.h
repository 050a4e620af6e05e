#pragma once

#include <string>

#include "bamboodock/core/ids.h"

namespace bamboodock {

/// Availability zone of a region.
struct AvailabilityZone {
  AvailabilityZoneId id;
  std::string region;
  /// Taken out of service by operators: no new work.
  bool drained = false;
};

}  // namespace bamboodock
