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
  /// Address of the endpoint that the sidecar calls.
  Address upstream;
  std::vector<Address> entries;
  Address platform;
  /// Maximum number of connections served concurrently.
  Concurrency connections{128};
  /// Maximum number of concurrent endpoint calls.
  Concurrency runners{64};
};

/// Creates, connects and runs the duties of a sidecar.
class SidecarProcess {
 public:
  /// Starts all duties; fails with `kBadSetting` when `settings.listen` cannot be bound.
  static Result<std::unique_ptr<SidecarProcess>> Start(const SidecarSettings& settings);
  ~SidecarProcess();

  /// Refuses new attempts, waits up to `config::kGracePeriod` in all for open attempts to finish
  /// and billing records to be confirmed, then stops all threads.
  void Stop();

 private:
  struct Parts;
  SidecarProcess();
  std::unique_ptr<Parts> parts_;
};

}  // namespace bamboodock
