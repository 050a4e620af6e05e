#include "bamboodock/command/entry/entry_rpc.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "bamboodock/codec/control_message.h"
#include "bamboodock/command/config/config_peer.h"
#include "bamboodock/transport/rpc_routes.h"

namespace bamboodock {

void EntryRpc::RegisterAt(RpcDispatcher& dispatcher) {
  RpcRoutes routes(dispatcher);
  routes.Add("sync", *this, &EntryRpc::Sync);
  routes.Add("witness", *this, &EntryRpc::Witness);
  routes.Add("prepare", *this, &EntryRpc::Prepare);
  routes.Add("announce", *this, &EntryRpc::Announce);
}

Result<nlohmann::json> EntryRpc::Sync(const nlohmann::json& parameters) {
  BOOST_LEAF_AUTO(request, FromJson<SyncRequest>(parameters));
  const auto now = std::chrono::steady_clock::now();
  const Epoch known = request.epoch;
  parts_.routes.Post(SyncReportCommand{std::move(request), now});
  return ToJson(ConfigStatusFor(*parts_.config.snapshot(), parts_.self, known, now));
}

Result<nlohmann::json> EntryRpc::Witness(const nlohmann::json& parameters) {
  BOOST_LEAF_AUTO(request, FromJson<WitnessRequest>(parameters));
  const auto now = std::chrono::steady_clock::now();
  return ToJson(ConfigStatusFor(*parts_.config.snapshot(), parts_.self, request.epoch, now));
}

Result<nlohmann::json> EntryRpc::Prepare(const nlohmann::json& parameters) {
  BOOST_LEAF_AUTO(request, FromJson<PrepareRequest>(parameters));
  const PendingSet& pending = request.pending;
  BOOST_LEAF_AUTO(set, DecodePublishedSet(pending.publication, pending.epoch, pending.set));
  const auto deadline = std::chrono::steady_clock::now() + config::kControlTimeout;
  auto reply = std::make_shared<BoundedRing<bool>>(1);
  PrepareResponse response;
  response.host = parts_.self;
  response.incarnation = parts_.incarnation;
  if (parts_.config.PostUntil(PrepareCommand{std::move(set), reply}, deadline)) {
    response.acknowledged = reply->PopUntil(deadline).value_or(false);
  }
  response.epoch = parts_.config.snapshot()->epoch();
  return ToJson(response);
}

Result<nlohmann::json> EntryRpc::Announce(const nlohmann::json& parameters) {
  BOOST_LEAF_AUTO(request, FromJson<AnnounceRequest>(parameters));
  BOOST_LEAF_AUTO(set, DecodePublishedSet(request.publication, request.epoch, request.set));
  const auto deadline = std::chrono::steady_clock::now() + config::kControlTimeout;
  parts_.config.PostUntil(InstallCommand{std::move(set), false}, deadline);
  parts_.config.WaitUntil(deadline,
                          [&](const ConfigSnapshot& s) { return s.epoch() >= request.epoch; });
  return nlohmann::json{{"process", parts_.self.value()},
                        {"epoch", parts_.config.snapshot()->epoch().value()}};
}

}  // namespace bamboodock
