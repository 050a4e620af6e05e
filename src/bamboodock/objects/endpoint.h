#pragma once

#include <string>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

enum class EndpointKind : std::uint8_t { kEngine, kService };

/// Back end together with the sidecar beside it.
struct Endpoint {
  EndpointId id;
  EndpointKind kind = EndpointKind::kEngine;
  ServiceId service;
  AvailabilityZoneId availability_zone;
  /// "ip:port" of the sidecar's message and RPC server.
  std::string address;
  /// Versions loaded; empty for a plain service.
  std::vector<VersionId> versions;
  /// Concurrent requests that the endpoint can serve right after a start.
  Concurrency cold_limit{2};
  /// Concurrent requests that the endpoint can serve when warm.
  Concurrency warm_limit{32};
  /// Whether the engine refuses orders with an old fencing token.
  bool checks_fencing = false;
};

}  // namespace bamboodock
