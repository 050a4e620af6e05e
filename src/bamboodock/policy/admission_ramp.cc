#include "bamboodock/policy/admission_ramp.h"

#include <algorithm>

namespace bamboodock {

AdmissionRamp::AdmissionRamp(Concurrency cold, Concurrency warm, Duration first_token_target)
    : cold_(std::max(cold, Concurrency(1))),
      warm_(std::max(warm, cold_)),
      first_token_target_(first_token_target),
      limit_(cold_) {}

bool AdmissionRamp::TryAdmit() {
  if (in_flight_ >= limit_) return false;
  in_flight_ += Concurrency(1);
  return true;
}

void AdmissionRamp::OnFinished(Duration first_token, bool ok) {
  const bool limit_half_used = IsLimitHalfUsed();
  const bool stale = stale_in_flight_ > Concurrency(0);
  ReleaseSlot();
  if (!ok || first_token > first_token_target_ * kSlowFactor) {
    ResetToCold();
  } else if (!stale && limit_half_used && first_token <= first_token_target_) {
    limit_ = std::min(warm_, limit_.Next());
  }
}

void AdmissionRamp::OnCancelled() { ReleaseSlot(); }

void AdmissionRamp::OnTurnedCold() { ResetToCold(); }

void AdmissionRamp::ReleaseSlot() {
  if (in_flight_ > Concurrency(0)) in_flight_ -= Concurrency(1);
  if (stale_in_flight_ > Concurrency(0)) stale_in_flight_ -= Concurrency(1);
}

void AdmissionRamp::ResetToCold() {
  // Attempts that began before the reset say nothing about the present state of the endpoint. The
  // limit therefore stays at its cold value while load reports repeat "cold" more often than
  // answers complete.
  stale_in_flight_ = in_flight_;
  limit_ = cold_;
}

bool AdmissionRamp::IsLimitHalfUsed() const { return in_flight_.value() * 2 >= limit_.value(); }

}  // namespace bamboodock
