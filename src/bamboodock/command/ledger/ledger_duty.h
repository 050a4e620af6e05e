#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <unordered_map>
#include <variant>
#include <vector>

#include "bamboodock/core/duty.h"
#include "bamboodock/observe/timeline.h"
#include "bamboodock/policy/billing_backlog.h"
#include "bamboodock/policy/billing_rule.h"
#include "bamboodock/stores/table.h"

namespace bamboodock {

/// Holds a record until its write is confirmed. The sender has reserved a slot for it.
struct HoldRecordCommand {
  BillingRecord record;
  /// Endpoint whose sidecar holds a copy of the record; empty in a sidecar process.
  EndpointId endpoint;
};

/// Reports that the other holder has confirmed the record of a request.
struct SettledCommand {
  RequestId request;
  StepNumber step;
};

using LedgerCommand = std::variant<HoldRecordCommand, SettledCommand>;

/// Notified, on the thread of the ledger duty, when a record is confirmed in the table.
class SettlementListener {
 public:
  virtual ~SettlementListener() = default;
  virtual void OnConfirmed(const BillingRecord& record, const EndpointId& endpoint) = 0;
};

/// Owns the unconfirmed billing records of a process and writes them to the table.
class LedgerDuty : public Duty<LedgerDuty, LedgerCommand> {
 public:
  struct Parts {
    BillingHolder holder;
    TableCommands& commands;
    TableQueries& queries;
    TimelineDuty& timeline;
    /// May be null.
    SettlementListener* listener;
  };

  explicit LedgerDuty(Parts parts);
  ~LedgerDuty() { Stop(); }

  /// Reserves a slot for a record; false when the ledger is full. Safe to call from any thread.
  bool TryReserve();
  /// Releases a reserved slot that needs no record. Safe to call from any thread.
  void CancelReservation();
  /// Number of records and reservations held.
  std::size_t held() const { return held_; }
  /// Blocks until no record or reservation is held; false when `deadline` passes first.
  bool WaitUntilConfirmed(MonotonicTime deadline);

  void Handle(LedgerCommand& command);
  MonotonicTime Tick();
  MonotonicTime NextDue() const;

 private:
  void Apply(HoldRecordCommand& command);
  void Apply(SettledCommand& command);
  /// Reads the row and writes the record if the row is missing or holds a lower step.
  BillingNextAction Write(const BillingRecord& record);
  void Confirm(const BillingRecord& record);
  void Remove(const RequestId& request, StepNumber step);

  Parts parts_;
  BillingRule rule_;
  BillingBacklog backlog_;
  std::unordered_map<RequestId, EndpointId> endpoints_;
  std::atomic<std::size_t> held_{0};
  std::mutex held_mutex_;
  std::condition_variable held_changed_;
};

}  // namespace bamboodock
