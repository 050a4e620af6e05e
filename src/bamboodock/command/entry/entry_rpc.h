#pragma once

#include <nlohmann/json_fwd.hpp>

#include "bamboodock/command/config/config_duty.h"
#include "bamboodock/command/entry/route_duty.h"
#include "bamboodock/transport/rpc/rpc.h"

namespace bamboodock {

/// JSON-RPC methods that an entry serves to sidecars and other entries.
class EntryRpc {
 public:
  struct Parts {
    HostId self;
    IncarnationId incarnation;
    ConfigDuty& config;
    RouteDuty& routes;
  };

  explicit EntryRpc(Parts parts) : parts_(std::move(parts)) {}

  void RegisterAt(RpcDispatcher& dispatcher);

 private:
  Result<nlohmann::json> Sync(const nlohmann::json& parameters);
  Result<nlohmann::json> Witness(const nlohmann::json& parameters);
  Result<nlohmann::json> Prepare(const nlohmann::json& parameters);
  Result<nlohmann::json> Announce(const nlohmann::json& parameters);

  Parts parts_;
};

}  // namespace bamboodock
