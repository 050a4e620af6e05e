#pragma once

#include "bamboodock/command/config/config_duty.h"
#include "bamboodock/command/ledger/ledger_duty.h"
#include "bamboodock/core/duty.h"

namespace bamboodock {

/// Requests that a sidecar is notified that the billing record of a request is confirmed, so that
/// it can drop its copy.
struct SettleCommand {
  RequestId request;
  StepNumber step;
  EndpointId endpoint;
};

/// Notifies sidecars of confirmed billing records.
///
/// A lost notice is harmless: the sidecar reads the row itself after `config::kSettleTimeout`.
class SettleDuty : public Duty<SettleDuty, SettleCommand>, public SettlementListener {
 public:
  explicit SettleDuty(const ConfigDuty& config) : config_(config) {}
  ~SettleDuty() override { Stop(); }

  void OnConfirmed(const BillingRecord& record, const EndpointId& endpoint) override {
    Post(SettleCommand{record.request, record.step, endpoint});
  }

  void Handle(SettleCommand& command);
  MonotonicTime Tick() { return std::chrono::steady_clock::now() + std::chrono::hours(1); }

 private:
  const ConfigDuty& config_;
};

}  // namespace bamboodock
