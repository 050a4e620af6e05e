#pragma once

#include "bamboodock/standin/fault_injector.h"
#include "bamboodock/standin/service_concurrency_limiter.h"
#include "bamboodock/standin/service_state.h"
#include "bamboodock/standin/state_duty.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock::standin {

/// Routes of the stand-in service that are not idempotent, and its fault injection.
class ServiceCommands {
 public:
  ServiceCommands(ServiceState& state, StateDuty& duty, ServiceConcurrencyLimiter& limiter,
                  FaultInjector& faults)
      : state_(state), duty_(duty), limiter_(limiter), faults_(faults) {}

  /// Sets how long each call takes.
  ServiceCommands& CallTime(Duration time);

  /// Handles the request when one of the routes matches; false when none does.
  bool Handle(const HttpRequest& request, ResponseWriter& writer);

 private:
  void Issue(const HttpRequest& request, ResponseWriter& writer);
  void SetFault(const HttpRequest& request, ResponseWriter& writer);

  ServiceState& state_;
  StateDuty& duty_;
  ServiceConcurrencyLimiter& limiter_;
  FaultInjector& faults_;
  Duration call_time_{0};
};

}  // namespace bamboodock::standin
