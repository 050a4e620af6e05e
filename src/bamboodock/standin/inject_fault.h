#pragma once

#include "bamboodock/standin/fault_injector.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock::standin {

/// Carries out a fault that takes effect before the request is processed. False when the response
/// is complete or the connection closed, so that the request must not be processed.
bool InjectFault(const Fault& fault, FaultInjector& faults, ResponseWriter& writer);

}  // namespace bamboodock::standin
