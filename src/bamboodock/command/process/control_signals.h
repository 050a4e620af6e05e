#pragma once

#include <chrono>
#include <cstdint>

namespace bamboodock {

/// Request made by a signal: SIGHUP reloads the settings, SIGTERM and SIGINT stop the process.
enum class ControlSignal : std::uint8_t { kNone, kReload, kStop };

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in the threads that it starts later, and
/// ignores SIGPIPE. Must be called before the first thread is started.
void BlockControlSignals();

/// Blocks until one of the blocked signals arrives; returns `kNone` after `timeout`.
ControlSignal WaitForControlSignal(std::chrono::seconds timeout);

}  // namespace bamboodock
