#pragma once

#include "bamboodock/standin/fault_board.h"
#include "bamboodock/standin/service_gate.h"
#include "bamboodock/standin/service_state.h"
#include "bamboodock/standin/state_duty.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock::standin {

/// Routes of the stand-in service that may not be repeated.
class ServiceCommands {
 public:
  ServiceCommands(ServiceState& state, StateDuty& duty, ServiceGate& gate, FaultBoard& faults)
      : state_(state), duty_(duty), gate_(gate), faults_(faults) {}

  /// Sets the time a call takes.
  ServiceCommands& CallTime(Duration time);

  /// False when no route fits.
  bool Handle(const HttpRequest& request, ResponseWriter& writer);

 private:
  void Issue(const HttpRequest& request, ResponseWriter& writer);
  void SetFault(const HttpRequest& request, ResponseWriter& writer);

  ServiceState& state_;
  StateDuty& duty_;
  ServiceGate& gate_;
  FaultBoard& faults_;
  Duration call_time_{0};
};

}  // namespace bamboodock::standin
