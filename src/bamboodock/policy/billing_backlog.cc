#include "bamboodock/policy/billing_backlog.h"

#include <utility>

namespace bamboodock {

BillingBacklog::~BillingBacklog() { by_write_time_.clear(); }

bool BillingBacklog::Reserve() {
  if (records_.size() + reserved_ >= capacity_) return false;
  ++reserved_;
  return true;
}

void BillingBacklog::Cancel() {
  if (reserved_ > 0) --reserved_;
}

void BillingBacklog::Add(BillingRecord record, MonotonicTime write_at) {
  Cancel();
  std::unique_ptr<QueuedRecord>& queued = records_[record.request];
  if (queued) {
    if (queued->record.step >= record.step) return;
    by_write_time_.erase(by_write_time_.iterator_to(*queued));
  } else {
    queued = std::make_unique<QueuedRecord>();
  }
  queued->record = std::move(record);
  queued->write_at = write_at;
  Insert(*queued);
}

std::optional<BillingRecord> BillingBacklog::Due(MonotonicTime now) const {
  if (by_write_time_.empty() || by_write_time_.front().write_at > now) return std::nullopt;
  return by_write_time_.front().record;
}

std::optional<MonotonicTime> BillingBacklog::NextDue() const {
  if (by_write_time_.empty()) return std::nullopt;
  return by_write_time_.front().write_at;
}

void BillingBacklog::Postpone(const RequestId& request, MonotonicTime write_at) {
  const auto it = records_.find(request);
  if (it == records_.end()) return;
  QueuedRecord& queued = *it->second;
  by_write_time_.erase(by_write_time_.iterator_to(queued));
  queued.write_at = write_at;
  Insert(queued);
}

bool BillingBacklog::Confirm(const RequestId& request, StepNumber step) {
  const auto it = records_.find(request);
  if (it == records_.end() || it->second->record.step > step) return false;
  by_write_time_.erase(by_write_time_.iterator_to(*it->second));
  records_.erase(it);
  return true;
}

// Records arrive nearly in the order of their write times, so the search starts at the end.
void BillingBacklog::Insert(QueuedRecord& queued) {
  auto position = by_write_time_.end();
  while (position != by_write_time_.begin()) {
    auto previous = position;
    --previous;
    if (previous->write_at <= queued.write_at) break;
    position = previous;
  }
  by_write_time_.insert(position, queued);
}

}  // namespace bamboodock
