#pragma once

#include <algorithm>
#include <mutex>

#include "bamboodock/core/units.h"

namespace bamboodock::standin {

struct ServiceLoad {
  Concurrency running;
  Concurrency max_running;
  /// Maximum number of open calls while cold, counting those refused above the cold limit.
  Concurrency max_running_cold;
  bool warm = true;
};

/// Counts the open calls of a stand-in service and limits them while it is cold. Thread-safe.
class ServiceConcurrencyLimiter {
 public:
  ServiceConcurrencyLimiter(std::uint64_t warmup_requests, Concurrency cold_limit)
      : warmup_requests_(warmup_requests), cold_limit_(cold_limit) {}

  /// Counts a call as open; false when the service is cold and the call exceeds the cold limit.
  bool TryAcquire() {
    const std::lock_guard lock(mutex_);
    const Concurrency open = load_.running.Next();
    if (served_ < warmup_requests_) {
      load_.max_running_cold = std::max(load_.max_running_cold, open);
      if (open > cold_limit_) return false;
    }
    load_.running = open;
    load_.max_running = std::max(load_.max_running, open);
    return true;
  }

  void Release() {
    const std::lock_guard lock(mutex_);
    load_.running -= Concurrency(1);
    ++served_;
  }

  /// Makes the service cold again.
  void TurnCold() {
    const std::lock_guard lock(mutex_);
    served_ = 0;
  }

  ServiceLoad load() const {
    const std::lock_guard lock(mutex_);
    ServiceLoad load = load_;
    load.warm = served_ >= warmup_requests_;
    return load;
  }

 private:
  std::uint64_t warmup_requests_;
  Concurrency cold_limit_;
  mutable std::mutex mutex_;
  ServiceLoad load_;
  std::uint64_t served_ = 0;
};

}  // namespace bamboodock::standin
