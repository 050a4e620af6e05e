#pragma once

#include <nlohmann/json.hpp>
#include <utility>

#include "bamboodock/standin/fault_injector.h"
#include "bamboodock/standin/inject_fault.h"
#include "bamboodock/standin/routes.h"
#include "bamboodock/standin/service_concurrency_limiter.h"

namespace bamboodock::standin {

/// Runs `work` within the concurrency limit and subject to a fault, and sends the body that it
/// returns. A null body closes the connection without a response.
template <class Work>
void ServeCall(const Fault& fault, Duration call_time, ServiceConcurrencyLimiter& limiter,
               FaultInjector& faults, ResponseWriter& writer, Work work) {
  if (!limiter.TryAcquire()) return SendError(writer, 503, "cold service's call limit exceeded");
  const bool freezes = fault.mode == FaultMode::kFreeze;
  nlohmann::json body;
  const bool allowed = freezes || InjectFault(fault, faults, writer);
  if (allowed && faults.Wait(call_time)) body = work();
  limiter.Release();
  if (!allowed) return;
  if (body.is_null() || fault.mode == FaultMode::kLoseAnswer) return writer.Close();
  if (freezes) {
    faults.HoldConnection();
    return writer.Close();
  }
  if (fault.mode != FaultMode::kCut) return SendJson(writer, 200, body);
  const std::string text = body.dump();
  if (writer.Begin(200, {{"Content-Type", "application/json"}})) {
    writer.Write(text.substr(0, text.size() / 2));
  }
  writer.Close();
}

}  // namespace bamboodock::standin
