#pragma once

#include <string>
#include <vector>

#include "bamboodock/observe/event_log.h"

namespace bamboodock {

/// Event log that records the events in memory.
class FakeEventLog final : public EventLog {
 public:
  struct Line {
    Event event;
    RequestId request;
    std::string detail;
  };

  void Write(Event event, const RequestId& request, const std::string& detail) override {
    lines.push_back({event, request, detail});
  }

  std::size_t Count(Event event) const {
    std::size_t count = 0;
    for (const Line& line : lines) count += line.event == event ? 1 : 0;
    return count;
  }

  std::vector<Line> lines;
};

}  // namespace bamboodock
