#pragma once

#include "bamboodock/observe/event_log.h"
#include "bamboodock/observe/log.h"

namespace bamboodock {

/// Writes events to the process log.
class ProcessEventLog final : public EventLog {
 public:
  void Write(Event event, const RequestId& request, const std::string& detail) override {
    LogEvent(event, request, detail);
  }
};

}  // namespace bamboodock
