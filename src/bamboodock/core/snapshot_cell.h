#pragma once

#include <mutex>
#include <utility>

#include "bamboodock/core/ref_counted.h"

namespace bamboodock {

/// Holder of the newest immutable snapshot: one duty stores, any thread loads.
template <class T>
class SnapshotCell {
 public:
  Ref<const T> Load() const {
    const std::lock_guard lock(mutex_);
    return snapshot_;
  }

  void Store(Ref<const T> snapshot) {
    const std::lock_guard lock(mutex_);
    snapshot_.swap(snapshot);
  }

 private:
  mutable std::mutex mutex_;
  Ref<const T> snapshot_;
};

}  // namespace bamboodock
