#pragma once

#include <chrono>
#include <optional>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Offset between the clock of the store and the local one, from which the maximum age of an answer
/// follows.
///
/// The answer to a long poll may have been in transit for an unknown time. Every exchange gives a
/// lower bound of the offset, since the store read its clock after the query was sent. The largest
/// of these bounds gives the earliest local time at which a later answer can have been created.
class StoreClock {
 public:
  /// Updates the offset from one exchange: a query sent at `sent`, and the store time in its
  /// answer. A store time that goes back means that the store was restarted, and replaces the
  /// offset.
  void Observe(MonotonicTime sent, std::chrono::milliseconds store_now) {
    const Duration offset = sent.time_since_epoch() - store_now;
    const bool restarted = last_store_time_ && store_now < *last_store_time_;
    if (!offset_ || restarted || offset > *offset_) offset_ = offset;
    last_store_time_ = store_now;
  }

  /// Lower bound of the local time minus the store time; empty before the first exchange. A store
  /// time plus this offset is never later than the local time of the same moment.
  std::optional<Duration> offset() const { return offset_; }

  /// Earliest local time at which the answer with `store_now` can have been created. The result
  /// lies between the send time of the query and the time at which the answer was received.
  MonotonicTime EarliestAnswerTime(MonotonicTime sent, MonotonicTime received,
                                   std::chrono::milliseconds store_now) const {
    if (!offset_) return sent;
    const MonotonicTime earliest(store_now + *offset_);
    if (earliest < sent) return sent;
    return earliest < received ? earliest : received;
  }

 private:
  std::optional<Duration> offset_;
  std::optional<std::chrono::milliseconds> last_store_time_;
};

}  // namespace bamboodock
