#pragma once

#include <string>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"

namespace bamboodock {

struct HostRecord {
  HostId id;
  std::string address;
  AvailabilityZoneId availability_zone;
  /// Announced to leave; the host still serves.
  bool leaving = false;
};

/// The platform's lagging list of hosts; a hint, never a ground for admission.
class HostQueries {
 public:
  virtual ~HostQueries() = default;
  virtual Result<std::vector<HostRecord>> Hosts() = 0;
};

}  // namespace bamboodock
