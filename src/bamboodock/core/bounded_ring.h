#pragma once

#include <boost/circular_buffer.hpp>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Blocking queue of fixed capacity that passes values between two threads.
///
/// A closed ring rejects pushes; the values that it still holds can be popped.
template <class T>
class BoundedRing {
 public:
  /// @param capacity Maximum number of elements; must be positive.
  explicit BoundedRing(std::size_t capacity) : buffer_(capacity) {}

  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  /// Adds a value; false when the ring is full or closed.
  bool TryPush(T value) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || buffer_.full()) return false;
      buffer_.push_back(std::move(value));
    }
    not_empty_.notify_one();
    return true;
  }

  /// Adds a value, waiting for room until `deadline`; false on timeout or when closed.
  bool PushUntil(T value, MonotonicTime deadline) {
    {
      std::unique_lock lock(mutex_);
      const auto ready = [this] { return closed_ || !buffer_.full(); };
      if (!not_full_.wait_until(lock, deadline, ready) || closed_) return false;
      buffer_.push_back(std::move(value));
    }
    not_empty_.notify_one();
    return true;
  }

  /// Takes the oldest value, waiting until `deadline`; empty on timeout or when closed and drained.
  std::optional<T> PopUntil(MonotonicTime deadline) {
    std::optional<T> value;
    {
      std::unique_lock lock(mutex_);
      const auto ready = [this] { return closed_ || !buffer_.empty(); };
      if (!not_empty_.wait_until(lock, deadline, ready) || buffer_.empty()) return value;
      value.emplace(std::move(buffer_.front()));
      buffer_.pop_front();
    }
    not_full_.notify_one();
    return value;
  }

  /// Takes the oldest value; empty when there is none.
  std::optional<T> TryPop() {
    std::optional<T> value;
    {
      const std::lock_guard lock(mutex_);
      if (buffer_.empty()) return value;
      value.emplace(std::move(buffer_.front()));
      buffer_.pop_front();
    }
    not_full_.notify_one();
    return value;
  }

  /// Takes the oldest value, waiting without a limit; empty when closed and drained.
  std::optional<T> Pop() {
    std::optional<T> value;
    {
      std::unique_lock lock(mutex_);
      not_empty_.wait(lock, [this] { return closed_ || !buffer_.empty(); });
      if (buffer_.empty()) return value;
      value.emplace(std::move(buffer_.front()));
      buffer_.pop_front();
    }
    not_full_.notify_one();
    return value;
  }

  /// Rejects further pushes and wakes all waiting threads.
  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    not_empty_.notify_all();
    not_full_.notify_all();
  }

  bool closed() const {
    const std::lock_guard lock(mutex_);
    return closed_;
  }

  std::size_t size() const {
    const std::lock_guard lock(mutex_);
    return buffer_.size();
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable not_empty_;
  std::condition_variable not_full_;
  boost::circular_buffer_space_optimized<T> buffer_;
  bool closed_ = false;
};

}  // namespace bamboodock
