#include "bamboodock/command/entry/store_watch_duty.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "bamboodock/command/config/config_peer.h"

namespace bamboodock {

StoreWatchDuty::StoreWatchDuty(Parts parts) : parts_(std::move(parts)) {
  for (const Address& peer : parts_.peers) witnesses_.emplace_back(peer);
}

void StoreWatchDuty::Handle(ReadHeadCommand& /*command*/) { Poll(); }

MonotonicTime StoreWatchDuty::Tick() {
  Poll();
  return std::chrono::steady_clock::now() + config::kSyncInterval;
}

void StoreWatchDuty::Poll() {
  const bool answered = ReadStore();
  parts_.config.Post(StoreStateCommand{answered});
  // A restarted witness must learn the prepares of the other witnesses before it may attest.
  if (answered && parts_.config.snapshot()->complete()) return;
  for (const RpcClient& witness : witnesses_) QueryWitness(witness);
}

bool StoreWatchDuty::ReadStore() {
  const auto asked_at = std::chrono::steady_clock::now();
  return HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(row, parts_.table.Read(kHeadKey));
        HeadRow head;
        if (row) {
          BOOST_LEAF_ASSIGN(head, DecodeHeadRow(row->value));
        }
        if (head.epoch > parts_.config.snapshot()->epoch()) {
          BOOST_LEAF_CHECK(FetchAndInstall(head));
        } else {
          parts_.config.Post(
              InstallCommand{{head.publication, head.epoch, nullptr, nullptr}, true});
        }
        parts_.config.Post(ConfirmCommand{head.epoch, asked_at, {}});
        return true;
      },
      [](const Failure& /*failure*/) { return false; });
}

Result<bool> StoreWatchDuty::FetchAndInstall(const HeadRow& head) {
  BOOST_LEAF_AUTO(text, parts_.objects.Load(head.object));
  BOOST_LEAF_AUTO(set, DecodePublishedSet(head.publication, head.epoch, text));
  return parts_.config.Post(InstallCommand{std::move(set), true});
}

void StoreWatchDuty::QueryWitness(const RpcClient& witness) {
  const auto asked_at = std::chrono::steady_clock::now();
  const WitnessRequest request{parts_.self, parts_.config.snapshot()->epoch()};
  HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(json, witness.Call("witness", ToJson(request), config::kControlTimeout));
        BOOST_LEAF_AUTO(status, FromJson<ConfigStatus>(json));
        PostPeerStatus(parts_.config, status, asked_at);
        return true;
      },
      [](const Failure& /*failure*/) { return false; });
}

}  // namespace bamboodock
