#pragma once

#include <string>

#include "bamboodock/command/process/stop_signal.h"
#include "bamboodock/config/settings.h"
#include "bamboodock/core/result.h"
#include "bamboodock/observe/log.h"

namespace bamboodock {

/// Runs a process until SIGTERM or SIGINT and stops it gracefully.
///
/// @tparam Process Type with `Start(settings)` and `Stop()`.
/// @param read_settings Returns the validated settings, or a failure whose detail is printed.
/// @param process_name Returns the name of the process in the log.
/// @param check_only Returns after the settings have been validated.
/// @return Exit code of the program.
template <class Process, class ReadSettings, class ProcessName>
int RunProcess(ReadSettings read_settings, ProcessName process_name, const std::string& log_level,
               bool check_only) {
  return HandleFailure(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(settings, read_settings());
        if (check_only) return 0;
        BlockStopSignals();
        InitLog(process_name(settings), log_level);
        BOOST_LEAF_AUTO(process, Process::Start(settings));
        WaitForStopSignal();
        process->Stop();
        CloseLog();
        return 0;
      },
      [](const Failure& failure) { return ReportInvalidSetting(failure.detail); });
}

}  // namespace bamboodock
