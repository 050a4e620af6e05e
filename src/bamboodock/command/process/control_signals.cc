#include "bamboodock/command/process/control_signals.h"

#include <csignal>
#include <ctime>

namespace bamboodock {
namespace {

sigset_t ControlSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

}  // namespace

void BlockControlSignals() {
  const sigset_t signals = ControlSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
}

ControlSignal WaitForControlSignal(std::chrono::seconds timeout) {
  const sigset_t signals = ControlSignals();
  const timespec limit{timeout.count(), 0};
  const int received = sigtimedwait(&signals, nullptr, &limit);
  if (received == SIGHUP) return ControlSignal::kReload;
  if (received == SIGTERM || received == SIGINT) return ControlSignal::kStop;
  return ControlSignal::kNone;
}

}  // namespace bamboodock
