#pragma once

#include <mutex>
#include <string>
#include <vector>

#include "fakes/fake_event_log.h"

namespace bamboodock {

/// Thread-safe log that records the events in memory.
class SharedEventLog final : public EventLog {
 public:
  void Write(Event event, const RequestId& request, const std::string& detail) override {
    const std::lock_guard lock(mutex_);
    lines_.Write(event, request, detail);
  }
  /// All lines as text, for the message of a failed assertion.
  std::string Text() const {
    const std::lock_guard lock(mutex_);
    std::string text;
    for (const FakeEventLog::Line& line : lines_.lines) {
      text += std::string(Name(line.event)) + " request=" + line.request.value() + " " +
              line.detail + "\n";
    }
    return text;
  }
  /// Details of the lines of one event, oldest first.
  std::vector<std::string> Details(Event event) const {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> details;
    for (const FakeEventLog::Line& line : lines_.lines) {
      if (line.event == event) details.push_back(line.detail);
    }
    return details;
  }

 private:
  mutable std::mutex mutex_;
  FakeEventLog lines_;
};

}  // namespace bamboodock
