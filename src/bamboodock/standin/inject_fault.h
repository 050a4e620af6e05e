#pragma once

#include "bamboodock/standin/fault_injector.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock::standin {

/// Acts out the faults that come before the work; false when the work must not be done.
bool InjectFault(const Fault& fault, FaultInjector& faults, ResponseWriter& writer);

}  // namespace bamboodock::standin
