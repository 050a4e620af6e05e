#pragma once

#include <boost/intrusive/list.hpp>

#include "bamboodock/policy/memory_budget.h"

namespace bamboodock {

/// Request that a caller sends, with the memory that is held for it.
class Upload : public boost::intrusive::list_base_hook<
                   boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  explicit Upload(MemoryBudget& budget) : claim_(budget) {}
  virtual ~Upload() = default;
  Upload(const Upload&) = delete;
  Upload& operator=(const Upload&) = delete;

  /// Asks the owner to stop waiting for the rest of the body. The owner releases the claim
  /// afterwards, unless the body has ended meanwhile.
  virtual void GiveUp() = 0;

  MemoryClaim& claim() { return claim_; }
  MonotonicTime begun_at() const { return begun_at_; }

 private:
  friend class UploadQueue;

  MemoryClaim claim_;
  MonotonicTime begun_at_{};
};

/// Bodies that are being received, in order of arrival.
///
/// Load pattern: callers stop just short of the end of their bodies and stay connected. Their
/// bodies are the ones that have been arriving for longest, so these are given up first when memory
/// is needed.
class UploadQueue {
 public:
  /// A body is not given up earlier. 1 MiB takes 0.84 s over a link of 10 Mbit/s.
  static constexpr std::chrono::seconds kMinAge{1};

  /// Adds an upload whose body begins to arrive; it leaves the queue with `Remove`, with
  /// `TakeOldest` or when it is destroyed.
  void Add(Upload& upload, MonotonicTime now) {
    upload.begun_at_ = now;
    uploads_.push_back(upload);
  }
  static void Remove(Upload& upload) { upload.unlink(); }

  /// Removes the upload to give up when memory is needed; null when none is old enough.
  Upload* TakeOldest(MonotonicTime now) {
    if (uploads_.empty() || now - uploads_.front().begun_at() < kMinAge) return nullptr;
    Upload& oldest = uploads_.front();
    uploads_.pop_front();
    return &oldest;
  }

 private:
  boost::intrusive::list<Upload, boost::intrusive::constant_time_size<false>> uploads_;
};

}  // namespace bamboodock
