#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "bamboodock/core/units.h"

namespace bamboodock::process_test {

/// Folder of this program, with a slash at its end. The programs under test are started from it, so
/// that a copy of the folder tests the programs in the copy.
std::string BinaryFolder();

/// Child process; killed on destruction.
class ChildProcess {
 public:
  /// Starts a program of this build; throws `std::runtime_error` when it cannot be started.
  ///
  /// @param log File to which standard output and standard error are appended.
  ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
               const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Sends SIGKILL and waits for the exit. A process that had already exited is counted in
  /// `unexpected_exits`.
  void Kill();
  /// Sends SIGSTOP and waits until the process is stopped.
  void Suspend();
  /// Sends SIGCONT.
  void Resume();
  /// Sends SIGTERM.
  void Terminate();
  /// Waits for the exit and returns the exit code, or -1 when a signal ended the process; empty on
  /// a timeout.
  std::optional<int> Wait(Duration timeout);

  /// Whether the process has not ended.
  bool IsRunning() const;
  /// Largest resident memory so far; 0 when the process has ended.
  Bytes PeakMemory() const;
  /// Number of open descriptors; 0 when the process has ended.
  std::size_t OpenDescriptors() const;
  /// One line per thread with its id, state and the kernel function that it waits in. States that a
  /// process has ended when it has none.
  std::string ThreadStates() const;

  /// Number of processes of this run that exited although no test stopped them.
  static int unexpected_exits();

 private:
  void Signal(int number) const;

  std::string log_;
  pid_t pid_ = -1;
};

}  // namespace bamboodock::process_test
