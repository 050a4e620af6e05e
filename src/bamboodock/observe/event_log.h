#pragma once

#include <string>

#include "bamboodock/core/ids.h"
#include "bamboodock/observe/event.h"

namespace bamboodock {

/// Receiver of numbered events; decision code is given one, so that tests can read what it says.
class EventLog {
 public:
  virtual ~EventLog() = default;
  /// Never blocks. `request` is empty for events of the process.
  virtual void Write(Event event, const RequestId& request, const std::string& detail) = 0;
};

}  // namespace bamboodock
