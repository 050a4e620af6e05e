#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "bamboodock/core/units.h"

namespace bamboodock::experiment {

/// Loop of a discrete-event simulation; its clock advances only from event to event.
class EventLoop {
 public:
  using Action = std::function<void()>;

  MonotonicTime now() const { return now_; }

  /// Schedules `action`; a time in the past counts as now.
  void At(MonotonicTime time, Action action);
  void After(Duration delay, Action action) { At(now_ + delay, std::move(action)); }
  /// Runs all events up to and including `end`, then advances the clock to `end`.
  void RunUntil(MonotonicTime end);

 private:
  struct Event {
    MonotonicTime time;
    std::uint64_t sequence;
    Action action;

    /// Events of the same time run in the order in which they were added.
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : sequence > other.sequence;
    }
  };

  MonotonicTime now_{};
  std::uint64_t sequence_ = 0;
  /// Heap by time. std::priority_queue would copy each action, since its top() is const.
  std::vector<Event> events_;
};

}  // namespace bamboodock::experiment
