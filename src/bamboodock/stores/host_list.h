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
  /// Whether its removal is announced; the host still serves.
  bool leaving = false;
};

/// The platform's list of hosts, which lags behind the actual state: a hint that must not decide
/// admission.
class HostQueries {
 public:
  virtual ~HostQueries() = default;
  virtual Result<std::vector<HostRecord>> Hosts() = 0;
};

}  // namespace bamboodock
