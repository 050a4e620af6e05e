#pragma once

namespace bamboodock {

/// Blocks SIGTERM and SIGINT in this thread and in threads it starts later.
///
/// Must be called before the first thread is started.
void BlockStopSignals();

/// Waits for the first SIGTERM or SIGINT; a second one then ends the process at once.
void WaitForStopSignal();

}  // namespace bamboodock
