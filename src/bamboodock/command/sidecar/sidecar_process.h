#pragma once

#include <memory>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"
#include "bamboodock/core/units.h"
#include "bamboodock/transport/address.h"

namespace bamboodock {

/// Settings of a sidecar.
struct SidecarSettings {
  EndpointId endpoint;
  Address listen;
  /// Address of the endpoint beside the sidecar.
  Address upstream;
  std::vector<Address> entries;
  Address platform;
  /// Connections served at the same time.
  Concurrency connections{128};
  /// Endpoint calls run at the same time.
  Concurrency runners{64};
};

/// All duties of a sidecar, wired together.
class SidecarProcess {
 public:
  /// Fails with `kBadSetting` when the address cannot be bound.
  static Result<std::unique_ptr<SidecarProcess>> Start(const SidecarSettings& settings);
  ~SidecarProcess();

  /// Refuses new work, finishes what is open, confirms billing records, ends all threads.
  void Stop();

 private:
  struct Parts;
  SidecarProcess();
  std::unique_ptr<Parts> parts_;
};

}  // namespace bamboodock
