#include "bamboodock/standin/inject_fault.h"

#include "bamboodock/standin/routes.h"

namespace bamboodock::standin {

bool InjectFault(const Fault& fault, FaultInjector& faults, ResponseWriter& writer) {
  switch (fault.mode) {
    case FaultMode::kDown:
      SendError(writer, 503, "injected fault: down");
      return false;
    case FaultMode::kFail:
      SendError(writer, 500, "injected fault: fail");
      return false;
    case FaultMode::kFreeze:
      faults.HoldConnection();
      writer.Close();
      return false;
    case FaultMode::kSlow:
      if (faults.Wait(fault.delay)) return true;
      writer.Close();
      return false;
    default:
      return true;
  }
}

}  // namespace bamboodock::standin
