#include "bamboodock/command/sidecar/sidecar_rpc.h"

#include <nlohmann/json.hpp>

#include "bamboodock/command/config/config_peer.h"
#include "bamboodock/transport/rpc_routes.h"

namespace bamboodock {

void SidecarRpc::RegisterAt(RpcDispatcher& dispatcher) {
  RpcRoutes routes(dispatcher);
  routes.Add("settle", *this, &SidecarRpc::Settle);
  routes.Add("announce", *this, &SidecarRpc::Announce);
}

Result<nlohmann::json> SidecarRpc::Settle(const nlohmann::json& parameters) {
  BOOST_LEAF_AUTO(request, FromJson<SettleRequest>(parameters));
  if (!ledger_.Post(SettledCommand{request.request, request.step})) {
    return Raise(ResultCode::kRingFull, "the command queue of the sidecar's ledger is full");
  }
  return nlohmann::json{{"settled", true}};
}

Result<nlohmann::json> SidecarRpc::Announce(const nlohmann::json& parameters) {
  BOOST_LEAF_AUTO(request, FromJson<AnnounceRequest>(parameters));
  BOOST_LEAF_AUTO(set, DecodePublishedSet(request.publication, request.epoch, request.set));
  const auto deadline = std::chrono::steady_clock::now() + config::kControlTimeout;
  config_.PostUntil(InstallCommand{std::move(set), false}, deadline);
  config_.WaitUntil(deadline, [&](const ConfigSnapshot& s) { return s.epoch() >= request.epoch; });
  return nlohmann::json{{"epoch", config_.snapshot()->epoch().value()}};
}

}  // namespace bamboodock
