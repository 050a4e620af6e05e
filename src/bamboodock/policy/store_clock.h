#pragma once

#include <chrono>
#include <optional>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Relates the store's clock to the local one, to tell how old an answer's content can be.
///
/// An answer to a long poll may have been on its way for an unknown time. Every exchange bounds the
/// offset between the clocks: the store read its clock after the question was sent. The largest of
/// these bounds gives the earliest local time at which a later answer can have been made.
class StoreClock {
 public:
  /// Takes in one exchange with the store.
  void Observe(MonotonicTime sent, std::chrono::milliseconds store_now) {
    const Duration offset = sent.time_since_epoch() - store_now;
    const bool restarted = last_ && store_now < *last_;
    if (!offset_ || restarted || offset > *offset_) offset_ = offset;
    last_ = store_now;
  }

  /// Local time less the store's time, at least; empty before the first exchange. A time of the
  /// store plus this is never later than the local time of the same moment.
  std::optional<Duration> offset() const { return offset_; }

  /// Earliest local time at which the answer with `store_now` can have been made; between the time
  /// its question was sent and the time it was received.
  MonotonicTime EarliestAnswerTime(MonotonicTime sent, MonotonicTime received,
                                   std::chrono::milliseconds store_now) const {
    if (!offset_) return sent;
    const MonotonicTime made(store_now + *offset_);
    if (made < sent) return sent;
    return made < received ? made : received;
  }

 private:
  std::optional<Duration> offset_;
  std::optional<std::chrono::milliseconds> last_;
};

}  // namespace bamboodock
