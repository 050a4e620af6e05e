#pragma once

namespace bamboodock {

/// Blocks SIGTERM and SIGINT in this thread and in the threads that it starts later.
///
/// Must be called before the first thread is started.
void BlockStopSignals();

/// Blocks until the first SIGTERM or SIGINT arrives; a second one then ends the process at once.
void WaitForStopSignal();

}  // namespace bamboodock
