#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "bamboodock/core/units.h"

namespace bamboodock::experiment {

/// Runs events in the order of their time; time passes only from event to event.
class EventLoop {
 public:
  using Action = std::function<void()>;

  MonotonicTime now() const { return now_; }

  void At(MonotonicTime time, Action action);
  void After(Duration delay, Action action) { At(now_ + delay, std::move(action)); }
  /// Runs all events up to `end`.
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
  /// Heap by time; std::priority_queue would force a copy of each action.
  std::vector<Event> events_;
};

}  // namespace bamboodock::experiment
