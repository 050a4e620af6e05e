#pragma once

#include "bamboodock/observe/event_log.h"

namespace bamboodock {

/// Thread-safe log that discards all lines.
class NullEventLog final : public EventLog {
 public:
  void Write(Event, const RequestId&, const std::string&) override {}
};

}  // namespace bamboodock
