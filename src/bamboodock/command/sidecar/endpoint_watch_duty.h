#pragma once

#include "bamboodock/command/sidecar/admission_duty.h"
#include "bamboodock/core/duty.h"
#include "bamboodock/transport/http_client.h"

namespace bamboodock {

/// The watch takes no commands.
struct NoCommand {};

/// Reads the load that the endpoint reports and passes it to the admission duty.
class EndpointWatchDuty : public Duty<EndpointWatchDuty, NoCommand> {
 public:
  EndpointWatchDuty(Address endpoint, AdmissionDuty& admission)
      : client_(std::move(endpoint)), admission_(admission) {}
  ~EndpointWatchDuty() { Stop(); }

  void Handle(NoCommand& /*command*/) {}
  MonotonicTime Tick();

 private:
  LoadReportCommand Ask() const;

  HttpClient client_;
  AdmissionDuty& admission_;
};

}  // namespace bamboodock
