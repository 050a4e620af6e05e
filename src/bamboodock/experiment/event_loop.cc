#include "bamboodock/experiment/event_loop.h"

#include <algorithm>
#include <utility>

namespace bamboodock::experiment {

void EventLoop::At(MonotonicTime time, Action action) {
  events_.push_back({std::max(time, now_), sequence_++, std::move(action)});
  std::push_heap(events_.begin(), events_.end());
}

void EventLoop::RunUntil(MonotonicTime end) {
  while (!events_.empty() && events_.front().time <= end) {
    std::pop_heap(events_.begin(), events_.end());
    Event event = std::move(events_.back());
    events_.pop_back();
    now_ = event.time;
    event.action();
  }
  now_ = std::max(now_, end);
}

}  // namespace bamboodock::experiment
