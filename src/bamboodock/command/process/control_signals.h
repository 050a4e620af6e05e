#pragma once

#include <chrono>
#include <cstdint>

namespace bamboodock {

enum class ControlSignal : std::uint8_t { kNone, kReload, kStop };

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in threads it starts later, and ignores
/// SIGPIPE. Must be called before the first thread is started.
void BlockControlSignals();

/// Waits for one of the blocked signals; `kNone` after `timeout`.
ControlSignal WaitForControlSignal(std::chrono::seconds timeout);

}  // namespace bamboodock
