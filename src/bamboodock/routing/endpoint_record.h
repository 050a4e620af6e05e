#pragma once

#include <cstdint>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"
#include "bamboodock/transport/address.h"

namespace bamboodock {

/// Start time of an endpoint in Unix milliseconds; tells two lifetimes under one id apart.
using StartTime = Quantity<struct StartTimeTag, std::int64_t>;

/// What an endpoint's registration says of it.
struct EndpointRecord {
  EndpointId id;
  ServiceId service;
  Address address;
  AvailabilityZoneId availability_zone;
  VersionId version;
  Concurrency slots{1};
  bool draining = false;
  /// How long the endpoint stays cold, counted from when the registration was written.
  Duration cold_remaining{};
  StartTime started;
};

}  // namespace bamboodock
