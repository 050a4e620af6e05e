#pragma once

#include <condition_variable>
#include <mutex>
#include <utility>

#include "bamboodock/core/ref_counted.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Holds the newest immutable snapshot: one duty stores, any thread loads.
template <class T>
class SnapshotCell {
 public:
  /// The newest snapshot; null before the first is stored.
  Ref<const T> Load() const {
    const std::lock_guard lock(mutex_);
    return snapshot_;
  }

  void Store(Ref<const T> snapshot) {
    {
      const std::lock_guard lock(mutex_);
      snapshot_.swap(snapshot);
    }
    changed_.notify_all();
  }

  /// Waits until a stored snapshot satisfies `predicate`; false when `deadline` passes first.
  template <class Predicate>
  bool WaitUntil(MonotonicTime deadline, Predicate predicate) const {
    std::unique_lock lock(mutex_);
    return changed_.wait_until(lock, deadline,
                               [&] { return snapshot_ != nullptr && predicate(*snapshot_); });
  }

 private:
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  Ref<const T> snapshot_;
};

}  // namespace bamboodock
