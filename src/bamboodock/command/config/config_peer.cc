#include "bamboodock/command/config/config_peer.h"

#include <memory>
#include <utility>

#include "bamboodock/codec/object_set_codec.h"

namespace bamboodock {

Result<PublishedSet> DecodePublishedSet(const PublicationId& publication, Epoch epoch,
                                        const std::string& text) {
  DecodedObjectSet decoded = DecodeObjectSet(text);
  if (!decoded.set) {
    const std::string problem = decoded.errors.empty() ? "" : decoded.errors.front().message;
    return Raise(ResultCode::kBadMessage, "the object set cannot be decoded: " + problem);
  }
  return PublishedSet{publication, epoch, decoded.set, std::make_shared<const std::string>(text)};
}

ConfigStatus ConfigStatusFor(const ConfigSnapshot& snapshot, const HostId& self, Epoch known,
                             MonotonicTime now) {
  ConfigStatus status;
  status.host = self;
  status.epoch = snapshot.epoch();
  status.publication = snapshot.current().publication;
  status.fresh = snapshot.IsFresh(now);
  if (status.fresh) {
    // Rounded up so that the evidence is never reported as newer than it is.
    status.age = std::chrono::ceil<std::chrono::milliseconds>(snapshot.freshness().Age(now));
  }
  status.attests = snapshot.attests();
  status.complete = snapshot.complete();
  for (const PublishedSet& set : snapshot.pending()) {
    status.pending.push_back({set.publication, set.epoch, *set.text});
  }
  if (known < snapshot.epoch() && snapshot.current().text) status.set = *snapshot.current().text;
  return status;
}

void PostPeerStatus(ConfigDuty& duty, const ConfigStatus& status, MonotonicTime asked_at) {
  const auto now = std::chrono::steady_clock::now();
  const auto post = [&](ConfigCommand command) {
    duty.PostUntil(std::move(command), now + config::kSyncInterval);
  };
  const auto decode = [&](const PublicationId& publication, Epoch epoch, const std::string& text) {
    return HandleFailure(
        [&]() -> Result<PublishedSet> { return DecodePublishedSet(publication, epoch, text); },
        [](const Failure& /*failure*/) { return PublishedSet{}; });
  };
  if (!status.set.empty()) {
    PublishedSet set = decode(status.publication, status.epoch, status.set);
    if (set.set) post(InstallCommand{std::move(set), false});
  }
  HoldPreparedSetsCommand hold;
  ConfirmCommand confirm{status.epoch, asked_at - status.age, {}};
  WitnessCommand witness{status.host, status.attests, status.complete, status.epoch, asked_at, {}};
  for (const PendingSet& pending : status.pending) {
    PublishedSet set = decode(pending.publication, pending.epoch, pending.set);
    if (set.set) hold.sets.push_back(std::move(set));
    confirm.pending.push_back(pending.publication);
    witness.pending.push_back({pending.publication, pending.epoch});
  }
  if (!hold.sets.empty()) post(std::move(hold));
  if (status.fresh) post(std::move(confirm));
  post(std::move(witness));
}

}  // namespace bamboodock
