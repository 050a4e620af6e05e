#include "bamboodock/policy/lease_rule.h"

#include <algorithm>
#include <utility>

namespace bamboodock {

LeaseRule::LeaseRule(IncarnationId self, Duration duration, Duration margin)
    : self_(std::move(self)), duration_(duration), margin_(margin) {}

void LeaseRule::OnAcquired(FencingToken fencing, MonotonicTime sent) {
  if (fencing < highest_) return;
  highest_ = fencing;
  own_fencing_ = fencing;
  valid_until_ = sent + duration_ - margin_;
  other_row_.reset();
}

void LeaseRule::OnRow(const LeaseRow& row, bool changed, MonotonicTime now) {
  OnFencingSeen(row.fencing);
  if (row.holder == self_) return;
  if (!other_row_ || changed || other_row_->fencing != row.fencing) other_changed_at_ = now;
  other_row_ = row;
}

void LeaseRule::OnFencingSeen(FencingToken fencing) { highest_ = std::max(highest_, fencing); }

bool LeaseRule::MayTakeOver(MonotonicTime now) const {
  // A fencing token seen without its row belongs to a holder whose lease may still be valid.
  if (!other_row_) return highest_ == own_fencing_.value_or(FencingToken());
  return now >= other_changed_at_ + duration_ + margin_;
}

LeaseVerdict LeaseRule::Judge(MonotonicTime now, Epoch decided, Epoch known) const {
  if (!own_fencing_) return LeaseVerdict::kNoLease;
  if (highest_ > *own_fencing_) return LeaseVerdict::kSuperseded;
  if (now >= valid_until_) return LeaseVerdict::kExpired;
  if (decided < known) return LeaseVerdict::kStaleEpoch;
  return LeaseVerdict::kAllowed;
}

}  // namespace bamboodock
