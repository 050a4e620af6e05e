#pragma once

#include "bamboodock/command/config/config_duty.h"
#include "bamboodock/command/sidecar/admission_duty.h"
#include "bamboodock/core/duty.h"
#include "bamboodock/transport/rpc_client.h"

namespace bamboodock {

/// Asks the duty to synchronize without waiting for the next interval.
struct SyncNowCommand {};

/// Exchanges load and configuration with one entry at a fixed interval.
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
