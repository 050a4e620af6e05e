#include "bamboodock/command/process/stop_signal.h"

#include <csignal>

namespace bamboodock {
namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
  // A second signal takes its default action, which ends a shutdown that takes too long.
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

}  // namespace bamboodock
