#include "bamboodock/command/sidecar/sync_duty.h"

#include <nlohmann/json.hpp>

#include "bamboodock/command/config/config_peer.h"

namespace bamboodock {

void SyncDuty::Handle(SyncNowCommand& /*command*/) { Synchronize(); }

MonotonicTime SyncDuty::Tick() {
  Synchronize();
  return std::chrono::steady_clock::now() + config::kSyncInterval;
}

SyncRequest SyncDuty::BuildRequest() const {
  const Ref<const AdmissionSnapshot> admission = parts_.admission.snapshot();
  SyncRequest request;
  request.endpoint = parts_.endpoint;
  request.incarnation = parts_.incarnation;
  request.epoch = parts_.config.snapshot()->epoch();
  request.in_flight = admission->in_flight;
  request.limit = admission->limit;
  request.warm = admission->warm;
  request.leaving = admission->leaving;
  request.reported_load = admission->reported_load;
  request.report_age = admission->report_age;
  request.evidence = admission->evidence;
  return request;
}

void SyncDuty::Synchronize() {
  const auto sent_at = std::chrono::steady_clock::now();
  const bool reached = HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(json,
                        client_.Call("sync", ToJson(BuildRequest()), config::kControlTimeout));
        BOOST_LEAF_AUTO(status, FromJson<ConfigStatus>(json));
        PostPeerStatus(parts_.config, status, sent_at);
        return true;
      },
      [](const Failure& /*failure*/) { return false; });
  if (reachable_ && !reached) {
    parts_.timeline.Record(Event::kPeerUnreachable, RequestId(), client_.peer().ToString());
  }
  reachable_ = reached;
}

}  // namespace bamboodock
