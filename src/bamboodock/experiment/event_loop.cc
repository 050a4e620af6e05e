#include "bamboodock/experiment/event_loop.h"

#include <algorithm>
#include <utility>

namespace bamboodock::experiment {

void EventLoop::At(MonotonicTime time, Action action) {
  events_.push({std::max(time, now_), sequence_++, std::move(action)});
}

void EventLoop::RunUntil(MonotonicTime end) {
  while (!events_.empty() && events_.top().time <= end) {
    // The queue gives const access only; the action has to be copied before the event is removed.
    const Event event = events_.top();
    events_.pop();
    now_ = event.time;
    event.action();
  }
  now_ = std::max(now_, end);
}

}  // namespace bamboodock::experiment
