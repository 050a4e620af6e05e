#include "bamboodock/policy/billing_backlog.h"

#include <utility>

namespace bamboodock {

BillingBacklog::~BillingBacklog() { order_.clear(); }

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
  std::unique_ptr<Held>& held = records_[record.request];
  if (held) {
    if (held->record.step >= record.step) return;
    order_.erase(order_.iterator_to(*held));
  } else {
    held = std::make_unique<Held>();
  }
  held->record = std::move(record);
  held->write_at = write_at;
  Insert(*held);
}

std::optional<BillingRecord> BillingBacklog::Due(MonotonicTime now) const {
  if (order_.empty() || order_.front().write_at > now) return std::nullopt;
  return order_.front().record;
}

std::optional<MonotonicTime> BillingBacklog::NextDue() const {
  if (order_.empty()) return std::nullopt;
  return order_.front().write_at;
}

void BillingBacklog::Postpone(const RequestId& request, MonotonicTime write_at) {
  const auto it = records_.find(request);
  if (it == records_.end()) return;
  Held& held = *it->second;
  order_.erase(order_.iterator_to(held));
  held.write_at = write_at;
  Insert(held);
}

bool BillingBacklog::Confirm(const RequestId& request, StepNumber step) {
  const auto it = records_.find(request);
  if (it == records_.end() || it->second->record.step > step) return false;
  order_.erase(order_.iterator_to(*it->second));
  records_.erase(it);
  return true;
}

// Times of writing are nearly in order of arrival, so the search starts at the end.
void BillingBacklog::Insert(Held& held) {
  auto position = order_.end();
  while (position != order_.begin()) {
    auto previous = position;
    --previous;
    if (previous->write_at <= held.write_at) break;
    position = previous;
  }
  order_.insert(position, held);
}

}  // namespace bamboodock
