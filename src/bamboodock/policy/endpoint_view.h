#pragma once

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// What an entry knows about one endpoint when it chooses.
struct EndpointView {
  EndpointId id;
  AvailabilityZoneId availability_zone;
  /// Attempts that this entry has open at the endpoint.
  Concurrency in_flight;
  /// Attempts from all entries, as last reported.
  Concurrency reported_load;
  Duration report_age{};
  /// Concurrency limit of the endpoint as last observed.
  Concurrency limit;
  bool warm = true;
  /// Share of requests for which the availability zone may be used; below 1 while it returns.
  Ratio zone_share{1.0};
  /// Attempts that this entry has sent since the last report arrived.
  Concurrency sent_since_report;
};

/// What a choice depends on besides the endpoints.
struct EndpointQuery {
  /// Hash of the prompt prefix; 0 when the request has no affinity.
  std::uint64_t affinity_key = 0;
  AvailabilityZoneId local_zone;
};

}  // namespace bamboodock
