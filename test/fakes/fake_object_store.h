#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>

#include "bamboodock/stores/object_store.h"

namespace bamboodock {

/// In-memory object store with fault injection.
class FakeObjectStore final : public ObjectCommands, public ObjectQueries {
 public:
  /// Makes every call fail with `kStoreUnavailable` while set.
  void SetDown(bool down) { down_ = down; }
  /// Makes the next put take effect but fail with `kStoreAnswerLost`.
  void LoseNextAnswer() { lose_next_answer_ = true; }

  Result<void> Put(const ObjectHash& hash, const std::string& bytes) override {
    const std::lock_guard lock(mutex_);
    if (down_) return Raise(ResultCode::kStoreUnavailable, "injected outage");
    objects_[hash] = bytes;
    if (lose_next_answer_.exchange(false)) {
      return Raise(ResultCode::kStoreAnswerLost, "injected loss of the answer", RunState::kUnknown);
    }
    return {};
  }

  Result<std::string> Load(const ObjectHash& hash) override {
    const std::lock_guard lock(mutex_);
    if (down_) return Raise(ResultCode::kStoreUnavailable, "injected outage");
    const auto object = objects_.find(hash);
    if (object == objects_.end()) return Raise(ResultCode::kNotFound, "object " + hash.value());
    return object->second;
  }

  std::size_t size() const {
    const std::lock_guard lock(mutex_);
    return objects_.size();
  }

 private:
  mutable std::mutex mutex_;
  std::map<ObjectHash, std::string> objects_;
  std::atomic<bool> down_{false};
  std::atomic<bool> lose_next_answer_{false};
};

}  // namespace bamboodock
