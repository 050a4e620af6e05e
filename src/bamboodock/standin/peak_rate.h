#pragma once

#include <algorithm>
#include <cstdint>

#include "bamboodock/core/units.h"

namespace bamboodock::standin {

/// Counts events in windows of one second and keeps the highest count of a window.
class PeakRate {
 public:
  /// Counts one event and returns the number of events in its window so far.
  std::uint64_t Add(MonotonicTime now) {
    if (now - window_start_ >= std::chrono::seconds(1)) {
      window_start_ = now;
      count_ = 0;
    }
    peak_ = std::max(peak_, ++count_);
    return count_;
  }
  std::uint64_t peak() const { return peak_; }

 private:
  MonotonicTime window_start_{};
  std::uint64_t count_ = 0;
  std::uint64_t peak_ = 0;
};

}  // namespace bamboodock::standin
