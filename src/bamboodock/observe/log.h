#pragma once

#include <cstdint>
#include <string>

#include "bamboodock/core/ids.h"
#include "bamboodock/observe/event.h"

namespace bamboodock {

/// Sets up the process log: one line an event on standard output.
///
/// Lines are written by a thread of their own. Nothing waits for it: when it falls behind, the
/// oldest lines are dropped and counted.
///
/// @param process Name that each line carries.
/// @param level "debug", "info", "warn" or "error".
void InitLog(const std::string& process, const std::string& level);

/// Writes an event with its number, name and details.
void LogEvent(Event event, const RequestId& request, const std::string& detail);

/// Writes what is queued and ends the log.
void CloseLog();

/// Lines dropped so far because the writer fell behind.
std::uint64_t DroppedLogLines();

}  // namespace bamboodock
