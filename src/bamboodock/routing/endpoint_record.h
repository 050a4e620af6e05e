#pragma once

#include <cstdint>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"
#include "bamboodock/transport/address.h"

namespace bamboodock {

/// Start time of an endpoint in Unix milliseconds; distinguishes restarts under the same id.
using StartTime = Quantity<struct StartTimeTag, std::int64_t>;

/// Registration of an endpoint.
struct EndpointRecord {
  EndpointId id;
  ServiceId service;
  Address address;
  AvailabilityZoneId availability_zone;
  VersionId version;
  Concurrency slots{1};
  bool draining = false;
  /// How long the endpoint stays cold, from the time at which the registration was written.
  Duration cold_remaining{};
  StartTime started;
};

}  // namespace bamboodock
