#pragma once

#include <nlohmann/json_fwd.hpp>

#include "bamboodock/command/config/config_duty.h"
#include "bamboodock/command/ledger/ledger_duty.h"
#include "bamboodock/transport/rpc/rpc.h"

namespace bamboodock {

/// JSON-RPC methods of a sidecar that change its state.
class SidecarRpc {
 public:
  SidecarRpc(ConfigDuty& config, LedgerDuty& ledger) : config_(config), ledger_(ledger) {}

  void RegisterAt(RpcDispatcher& dispatcher);

 private:
  Result<nlohmann::json> Settle(const nlohmann::json& parameters);
  Result<nlohmann::json> Announce(const nlohmann::json& parameters);

  ConfigDuty& config_;
  LedgerDuty& ledger_;
};

}  // namespace bamboodock
