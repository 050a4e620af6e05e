#pragma once

#include <mutex>

#include "bamboodock/core/clock.h"
#include "bamboodock/standin/peak_rate.h"

namespace bamboodock::standin {

/// Limits the reads per second of the stand-in weight store. Thread-safe.
class WeightRateLimiter {
 public:
  WeightRateLimiter(const Clock& clock, RequestRate rate) : clock_(clock), rate_(rate) {}

  /// Counts a read; false when it exceeds the rate.
  bool TryAcquire() {
    const std::lock_guard lock(mutex_);
    return static_cast<double>(reads_.Add(clock_.Now())) <= rate_.value();
  }

 private:
  const Clock& clock_;
  RequestRate rate_;
  std::mutex mutex_;
  PeakRate reads_;
};

}  // namespace bamboodock::standin
