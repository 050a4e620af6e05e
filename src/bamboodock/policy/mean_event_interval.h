#pragma once

#include <cstdint>
#include <optional>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Mean time between two events of one attempt's stream.
///
/// Events that arrive together are counted individually, so the mean does not depend on how the
/// connection splits the stream into reads.
class MeanEventInterval {
 public:
  /// Records that `events` complete events have arrived.
  void Add(std::uint64_t events, MonotonicTime now) {
    if (events == 0) return;
    if (events_ == 0) first_ = now;
    events_ += events;
    last_ = now;
  }

  /// Mean interval between events; empty before the second event.
  std::optional<Duration> Interval() const {
    if (events_ < 2) return std::nullopt;
    return (last_ - first_) / static_cast<Duration::rep>(events_ - 1);
  }

 private:
  std::uint64_t events_ = 0;
  MonotonicTime first_{};
  MonotonicTime last_{};
};

}  // namespace bamboodock
