#pragma once

#include <cstdint>
#include <deque>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Number of events within a sliding time window.
class SlidingCount {
 public:
  explicit SlidingCount(Duration window) : window_(window) {}

  void Add(MonotonicTime now) {
    if (!slices_.empty() && now - slices_.back().begin < window_ / kSlices) {
      ++slices_.back().count;
    } else {
      slices_.push_back({now, 1});
    }
    ++total_;
  }

  /// Number of events in the window that ends at `now`. Events that share a slice leave the window
  /// together, up to one slice late and never early, so the count is never too low.
  std::uint64_t Count(MonotonicTime now) {
    while (!slices_.empty() && now - slices_.front().begin >= window_ + window_ / kSlices) {
      total_ -= slices_.front().count;
      slices_.pop_front();
    }
    return total_;
  }

 private:
  static constexpr int kSlices = 50;
  struct Slice {
    MonotonicTime begin;
    std::uint64_t count;
  };

  Duration window_;
  std::deque<Slice> slices_;
  std::uint64_t total_ = 0;
};

}  // namespace bamboodock
