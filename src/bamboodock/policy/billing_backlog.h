#pragma once

#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>

#include "bamboodock/policy/billing_record.h"

namespace bamboodock {

/// Billing records that a holder keeps until their write is confirmed, in the order of their time
/// of writing.
///
/// A slot is reserved before a request is admitted, so that an answered request always has room
/// for its record.
class BillingBacklog {
 public:
  explicit BillingBacklog(std::size_t capacity) : capacity_(capacity) {}
  ~BillingBacklog();
  BillingBacklog(const BillingBacklog&) = delete;
  BillingBacklog& operator=(const BillingBacklog&) = delete;

  /// Reserves room for one record; false when the backlog is full, and the request is refused.
  bool Reserve();
  /// Gives back a reservation whose request needs no record.
  void Cancel();
  /// Adds a record under a reservation. A record held of an earlier step is replaced and frees its
  /// room; one of the same or a later step stays.
  void Add(BillingRecord record, MonotonicTime write_at);
  /// The record that is due, if any. It stays held.
  std::optional<BillingRecord> Due(MonotonicTime now) const;
  /// When the next record is due.
  std::optional<MonotonicTime> NextDue() const;
  /// Moves a record to a later time after a failed write.
  void Postpone(const RequestId& request, MonotonicTime write_at);
  /// Removes a record of at most `step`: the row holds it or a later one.
  bool Confirm(const RequestId& request, StepNumber step);

  std::size_t size() const { return records_.size(); }
  std::size_t reserved() const { return reserved_; }

 private:
  struct Held : boost::intrusive::list_base_hook<> {
    BillingRecord record;
    MonotonicTime write_at;
  };

  void Insert(Held& held);

  std::size_t capacity_;
  std::size_t reserved_ = 0;
  std::unordered_map<RequestId, std::unique_ptr<Held>> records_;
  boost::intrusive::list<Held> order_;
};

}  // namespace bamboodock
