#pragma once

#include <string>

#include "bamboodock/core/ids.h"
#include "bamboodock/observe/event.h"

namespace bamboodock {

/// Sets up the process log: one line an event on standard error.
///
/// @param process Name that each line carries.
/// @param level "debug", "info", "warn" or "error".
void InitLog(const std::string& process, const std::string& level);

/// Writes an event with its number, name and details.
void LogEvent(Event event, const RequestId& request, const std::string& detail);

}  // namespace bamboodock
