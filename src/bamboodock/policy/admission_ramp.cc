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

void AdmissionRamp::Finished(Duration first_token, bool ok) {
  const bool limit_used = IsLimitUsed();
  const bool outdated = outdated_ > Concurrency(0);
  LeavePlace();
  if (!ok || first_token > first_token_target_ * kSlowFactor) {
    FallBack();
  } else if (!outdated && limit_used && first_token <= first_token_target_) {
    limit_ = std::min(warm_, limit_.Next());
  }
}

void AdmissionRamp::Cancelled() { LeavePlace(); }

void AdmissionRamp::TurnedCold() { FallBack(); }

void AdmissionRamp::LeavePlace() {
  if (in_flight_ > Concurrency(0)) in_flight_ -= Concurrency(1);
  if (outdated_ > Concurrency(0)) outdated_ -= Concurrency(1);
}

void AdmissionRamp::FallBack() {
  // Attempts that began before say nothing about the endpoint as it is now. While load reports
  // repeat "cold" within the length of an answer, the limit therefore stays down.
  outdated_ = in_flight_;
  limit_ = cold_;
}

bool AdmissionRamp::IsLimitUsed() const { return in_flight_.value() * 2 >= limit_.value(); }

}  // namespace bamboodock
