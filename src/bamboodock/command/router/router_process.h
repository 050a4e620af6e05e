#pragma once

#include <memory>
#include <optional>

#include "bamboodock/command/router/router_limits.h"
#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"
#include "bamboodock/routing/directory.h"
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
  /// Datagrams of the other entries.
  Address gossip;
  /// Metrics; none are served when it is not set.
  std::optional<Address> metrics;
  Address store;
  RouterLimits limits;
  /// Longest time that a stop may take.
  Duration grace = std::chrono::seconds(8);
};

/// Adapters to the systems around the router; they must outlive the process.
struct RouterAdapters {
  const WireProtocol& wire;
  const DirectoryCodec& directory;
  const StoreProtocol& store;
};

/// All duties of a router, wired together.
class RouterProcess {
 public:
  /// Fails with `kBadSetting` when an address cannot be bound.
  static Result<std::unique_ptr<RouterProcess>> Start(const RouterSettings& settings,
                                                      const RouterAdapters& adapters);
  ~RouterProcess();

  /// Takes over settings that may change while the process runs: the store's address.
  void Reload(const RouterSettings& settings);
  /// Leaves the balancer, finishes open requests, ends all threads.
  void Stop();

 private:
  struct Parts;
  RouterProcess();
  std::unique_ptr<Parts> parts_;
};

}  // namespace bamboodock
