#pragma once

#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>

#include "bamboodock/policy/billing_record.h"

namespace bamboodock {

/// Billing records that a holder keeps until their write is confirmed, ordered by the time at which
/// they are due to be written.
///
/// Capacity for one record is reserved before a request is admitted, so that the record of an
/// answered request always fits.
class BillingBacklog {
 public:
  explicit BillingBacklog(std::size_t capacity) : capacity_(capacity) {}
  ~BillingBacklog();
  BillingBacklog(const BillingBacklog&) = delete;
  BillingBacklog& operator=(const BillingBacklog&) = delete;

  /// Reserves capacity for one record; false when the backlog is full and the request must be
  /// refused.
  bool Reserve();
  /// Releases the reservation of a request that needs no record.
  void Cancel();
  /// Adds a record and uses up one reservation. A queued record of the same request is replaced if
  /// it is of an earlier step; otherwise the new record is discarded.
  void Add(BillingRecord record, MonotonicTime write_at);
  /// The record that is due first, or empty when none is due at `now`. It stays in the backlog.
  std::optional<BillingRecord> Due(MonotonicTime now) const;
  /// Time at which the next record is due; empty when there is none.
  std::optional<MonotonicTime> NextDue() const;
  /// Postpones a record to `write_at` after a failed write.
  void Postpone(const RequestId& request, MonotonicTime write_at);
  /// Removes the record of a request after the row was found to hold `step`; false when there is
  /// none or its step is later.
  bool Confirm(const RequestId& request, StepNumber step);

  std::size_t size() const { return records_.size(); }
  std::size_t reserved() const { return reserved_; }

 private:
  struct QueuedRecord : boost::intrusive::list_base_hook<> {
    BillingRecord record;
    MonotonicTime write_at;
  };

  void Insert(QueuedRecord& queued);

  std::size_t capacity_;
  std::size_t reserved_ = 0;
  std::unordered_map<RequestId, std::unique_ptr<QueuedRecord>> records_;
  boost::intrusive::list<QueuedRecord> by_write_time_;
};

}  // namespace bamboodock
