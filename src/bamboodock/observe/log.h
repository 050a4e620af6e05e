#pragma once

#include <cstdint>
#include <string>

#include "bamboodock/core/ids.h"
#include "bamboodock/observe/event.h"

namespace bamboodock {

/// Sets up the process log: one line per event on standard output.
///
/// A separate thread writes the lines. Callers never wait for it: when it falls behind, the oldest
/// lines are dropped and counted.
///
/// @param process Name of the process in each line.
/// @param level "debug", "info", "warn" or "error".
void InitLog(const std::string& process, const std::string& level);

/// Logs the number, name, request and detail of an event; after `InitLog`, without waiting for the
/// writer thread.
void LogEvent(Event event, const RequestId& request, const std::string& detail);

/// Writes the queued lines and shuts the log down.
void CloseLog();

/// Lines dropped so far because the writer thread fell behind.
std::uint64_t DroppedLogLines();

}  // namespace bamboodock
