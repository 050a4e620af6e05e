#include "bamboodock/policy/sequential_test.h"

#include <algorithm>
#include <cmath>

namespace bamboodock {

SequentialTest::SequentialTest(SequentialLimits limits)
    : step_good_(std::log((1 - limits.unacceptable.value()) / (1 - limits.acceptable.value()))),
      step_bad_(std::log(limits.unacceptable.value() / limits.acceptable.value())),
      reject_at_(std::log((1 - limits.miss.value()) / limits.false_alarm.value())),
      accept_at_(std::log(limits.miss.value() / (1 - limits.false_alarm.value()))) {}

bool SequentialTest::Add(std::uint64_t good, std::uint64_t bad) {
  // The order of the observations within one report is unknown. Adding the good ones first, with a
  // restart before the bad ones, finds a change within the report earliest.
  log_ratio_ += static_cast<double>(good) * step_good_;
  if (log_ratio_ <= accept_at_) log_ratio_ = 0;
  log_ratio_ += static_cast<double>(bad) * step_bad_;
  rejected_ = rejected_ || log_ratio_ >= reject_at_;
  return rejected_;
}

}  // namespace bamboodock
