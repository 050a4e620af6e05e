#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "bamboodock/core/units.h"

namespace bamboodock::process_test {

/// Running program; killed when the object goes.
class ChildProcess {
 public:
  /// Starts a program of this build.
  ///
  /// @param log File that receives standard output and standard error.
  ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
               const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// SIGKILL, and waits for the end. A process that had ended before is counted as a crash.
  void Kill();
  /// SIGSTOP, and waits until the process is stopped.
  void Suspend();
  /// SIGCONT.
  void Resume();
  /// SIGTERM.
  void Terminate();
  /// Exit code, or -1 after a signal; empty when the process still runs at the limit.
  std::optional<int> Wait(Duration timeout);

  /// Processes of this run that ended although no test told them to.
  static int unexpected_exits();

 private:
  void Signal(int number) const;

  std::string log_;
  pid_t pid_ = -1;
};

}  // namespace bamboodock::process_test
