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

/// A record to hold until its write is confirmed; a slot was reserved for it.
struct HoldRecordCommand {
  BillingRecord record;
  /// Endpoint whose sidecar holds the record too; empty at a sidecar.
  EndpointId endpoint;
};

/// The other holder has confirmed the record of a request.
struct SettledCommand {
  RequestId request;
  StepNumber step;
};

using LedgerCommand = std::variant<HoldRecordCommand, SettledCommand>;

/// Told when a record is confirmed in the table.
class SettlementListener {
 public:
  virtual ~SettlementListener() = default;
  virtual void OnConfirmed(const BillingRecord& record, const EndpointId& endpoint) = 0;
};

/// Owner of the billing records of a process that are not confirmed yet.
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

  /// Reserves room for a record; false when the ledger is full. Any thread may call it.
  bool TryReserve();
  /// Gives back a reservation that needs no record.
  void CancelReservation();
  /// Records and reservations held.
  std::size_t held() const { return held_; }
  /// Waits until all records are confirmed; false when `deadline` passes first.
  bool WaitUntilConfirmed(MonotonicTime deadline);

  void Handle(LedgerCommand& command);
  MonotonicTime Tick();
  MonotonicTime Due() const;

 private:
  void Apply(HoldRecordCommand& command);
  void Apply(SettledCommand& command);
  /// Reads the row and writes the record if it is missing or of a lower step.
  BillingNext Write(const BillingRecord& record);
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
