#include "bamboodock/policy/lease_rule.h"

#include <algorithm>
#include <utility>

namespace bamboodock {

LeaseRule::LeaseRule(IncarnationId self, Duration duration, Duration margin)
    : self_(std::move(self)), duration_(duration), margin_(margin) {}

void LeaseRule::OnAcquired(FencingNumber fencing, MonotonicTime sent) {
  if (fencing < highest_) return;
  highest_ = fencing;
  own_ = fencing;
  valid_until_ = sent + duration_ - margin_;
  other_.reset();
}

void LeaseRule::OnRow(const LeaseRow& row, bool changed, MonotonicTime now) {
  OnFencingSeen(row.fencing);
  if (row.holder == self_) return;
  if (!other_ || changed || other_->fencing != row.fencing) other_changed_ = now;
  other_ = row;
}

void LeaseRule::OnFencingSeen(FencingNumber fencing) { highest_ = std::max(highest_, fencing); }

bool LeaseRule::MayTakeOver(MonotonicTime now) const {
  // A number seen without its row belongs to a holder whose lease cannot be judged yet.
  if (!other_) return highest_ == own_.value_or(FencingNumber());
  return now >= other_changed_ + duration_ + margin_;
}

LeaseVerdict LeaseRule::Judge(MonotonicTime now, Epoch decided, Epoch known) const {
  if (!own_) return LeaseVerdict::kNoLease;
  if (highest_ > *own_) return LeaseVerdict::kSuperseded;
  if (now >= valid_until_) return LeaseVerdict::kExpired;
  if (decided < known) return LeaseVerdict::kStaleEpoch;
  return LeaseVerdict::kAllowed;
}

}  // namespace bamboodock
