#pragma once

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// State of one endpoint as known to the entry that makes the choice.
struct EndpointView {
  EndpointId id;
  AvailabilityZoneId availability_zone;
  /// Open attempts of this entry at the endpoint.
  Concurrency in_flight;
  /// Attempts of all entries at the endpoint, as last reported.
  Concurrency reported_load;
  Duration report_age{};
  /// Concurrency limit of the endpoint as last observed.
  Concurrency limit;
  bool warm = true;
  /// Share of requests that may use the availability zone; below 1 while traffic returns to it.
  Ratio zone_share{1.0};
  /// Attempts that this entry has sent since the last report arrived.
  Concurrency sent_since_report;
};

/// Inputs of a choice besides the endpoints.
struct EndpointQuery {
  /// Hash of the prompt prefix; 0 when the request has no affinity.
  std::uint64_t affinity_key = 0;
  AvailabilityZoneId local_zone;
};

}  // namespace bamboodock
