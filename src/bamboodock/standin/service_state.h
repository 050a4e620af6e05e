#pragma once

#include <map>
#include <mutex>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/quantity.h"

namespace bamboodock::standin {

/// Number of times that calls with one idempotency key were run.
using RunCount = Quantity<struct RunCountTag, std::uint64_t>;
/// Number of a label or an order.
using IssueNumber = Quantity<struct IssueNumberTag, std::uint64_t>;

struct Issue {
  IssueNumber number;
  RunCount runs;
};

/// Labels and orders issued by a stand-in service. Thread-safe; only the state duty calls `Run`.
class ServiceState {
 public:
  /// Issues a new number and counts the run, even when the key was used before.
  Issue Run(const IdempotencyKey& key) {
    const std::lock_guard lock(mutex_);
    last_ = last_.Next();
    RunCount& runs = runs_[key];
    runs = runs.Next();
    return {last_, runs};
  }

  std::map<IdempotencyKey, RunCount> Runs() const {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

 private:
  mutable std::mutex mutex_;
  IssueNumber last_;
  std::map<IdempotencyKey, RunCount> runs_;
};

}  // namespace bamboodock::standin
