#pragma once

#include <string>

#include "bamboodock/core/ids.h"
#include "bamboodock/observe/event.h"

namespace bamboodock {

/// Sink of numbered events; injected into decision code, so that tests can inspect the events.
class EventLog {
 public:
  virtual ~EventLog() = default;
  /// Does not block. `request` is empty for events of the process itself.
  virtual void Write(Event event, const RequestId& request, const std::string& detail) = 0;
};

}  // namespace bamboodock
