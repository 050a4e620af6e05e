#pragma once

#include "bamboodock/command/config/config_duty.h"
#include "bamboodock/command/sidecar/admission_duty.h"
#include "bamboodock/core/duty.h"
#include "bamboodock/transport/rpc_client.h"

namespace bamboodock {

/// Synchronizes at once instead of at the next interval.
struct SyncNowCommand {};

/// Reports load and evidence to one entry every `config::kSyncInterval` and receives its
/// configuration status.
class SyncDuty : public Duty<SyncDuty, SyncNowCommand> {
 public:
  struct Parts {
    EndpointId endpoint;
    IncarnationId incarnation;
    ConfigDuty& config;
    AdmissionDuty& admission;
    TimelineDuty& timeline;
  };

  SyncDuty(const Parts& parts, Address entry) : parts_(parts), client_(std::move(entry)) {}
  ~SyncDuty() { Stop(); }

  void Handle(SyncNowCommand& command);
  MonotonicTime Tick();

 private:
  SyncRequest BuildRequest() const;
  void Synchronize();

  Parts parts_;
  RpcClient client_;
  bool reachable_ = true;
};

}  // namespace bamboodock
