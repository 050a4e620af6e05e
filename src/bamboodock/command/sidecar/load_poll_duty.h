#pragma once

#include "bamboodock/command/sidecar/admission_duty.h"
#include "bamboodock/core/duty.h"
#include "bamboodock/transport/http_client.h"

namespace bamboodock {

/// Command type of duties that take no commands.
struct NoCommand {};

/// Polls the load of the endpoint every `config::kSyncInterval` and posts it to the admission duty;
/// a failed poll is posted as unreachable.
class LoadPollDuty : public Duty<LoadPollDuty, NoCommand> {
 public:
  LoadPollDuty(Address endpoint, AdmissionDuty& admission)
      : client_(std::move(endpoint)), admission_(admission) {}
  ~LoadPollDuty() { Stop(); }

  void Handle(NoCommand& /*command*/) {}
  MonotonicTime Tick();

 private:
  LoadReportCommand PollLoad() const;

  HttpClient client_;
  AdmissionDuty& admission_;
};

}  // namespace bamboodock
