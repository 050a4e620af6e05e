#pragma once

#include "bamboodock/command/sidecar/admission_duty.h"
#include "bamboodock/core/duty.h"
#include "bamboodock/transport/http_client.h"

namespace bamboodock {

/// The watch takes no commands.
struct NoCommand {};

/// Reads the load that the endpoint reports and passes it to the admission duty.
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
