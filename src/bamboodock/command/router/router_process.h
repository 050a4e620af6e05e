#pragma once

#include <memory>
#include <optional>

#include "bamboodock/command/router/answer_limits.h"
#include "bamboodock/command/router/router_limits.h"
#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"
#include "bamboodock/policy/host_capacity.h"
#include "bamboodock/routing/directory_codec.h"
#include "bamboodock/routing/store_protocol.h"
#include "bamboodock/routing/wire_protocol.h"
#include "bamboodock/transport/address.h"

namespace bamboodock {

/// Settings of a router.
struct RouterSettings {
  HostId host;
  AvailabilityZoneId availability_zone;
  Address callers;
  Address readiness;
  /// UDP address for reports of the other entries.
  Address gossip;
  /// Address of the metrics page; not served when unset.
  std::optional<Address> metrics;
  Address store;
  RouterLimits limits;
  AnswerLimits answer_limits;
  HostCapacity capacity;
  /// Time limit of `Stop`.
  Duration grace = std::chrono::seconds(8);
};

/// Adapters to external systems; they must outlive the `RouterProcess`.
struct RouterAdapters {
  const WireProtocol& wire;
  const DirectoryCodec& directory;
  const StoreProtocol& store;
};

/// Creates, connects and runs all duties of a router.
class RouterProcess {
 public:
  /// Starts all threads. Fails with `kBadSetting` when an address cannot be bound.
  static Result<std::unique_ptr<RouterProcess>> Start(const RouterSettings& settings,
                                                      const RouterAdapters& adapters);
  ~RouterProcess();

  /// Applies the settings that may change at run time: only the store's address.
  void Reload(const RouterSettings& settings);
  /// Reports not ready, waits until the load balancer has removed the process and open requests
  /// have ended, then stops all threads. Requests that are still open shortly before the end of the
  /// grace time are ended. Metrics are no longer served. Blocks the caller for less than the grace
  /// time.
  void Stop();

 private:
  struct Parts;
  RouterProcess();
  std::unique_ptr<Parts> parts_;
};

}  // namespace bamboodock
