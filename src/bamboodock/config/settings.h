#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboodock/core/result.h"

namespace bamboodock {

/// Exit code of every program for invalid usage or settings.
inline constexpr int kExitInvalidSetting = 2;

/// Action requested by the command line.
enum class SettingsAction : std::uint8_t { kRun, kHelp, kVersion };

/// Result of applying settings to the gflags of the program.
struct AppliedSettings {
  SettingsAction action = SettingsAction::kRun;
  /// Indexes of the arguments that are not flags.
  std::vector<std::size_t> positional;
};

/// Sets the gflags of the program from environment variables `BAMBOODOCK_<FLAG>` and then from the
/// arguments, so that an argument takes precedence.
///
/// @param arguments Command line without the program name.
/// @param environment Entries of the form "NAME=VALUE".
///
/// Fails with `kBadSetting` on an unknown flag or BAMBOODOCK_ variable, or a missing or invalid
/// value.
Result<AppliedSettings> ApplySettings(const std::vector<std::string>& arguments,
                                      const std::vector<std::string>& environment);

/// Text of `--help`: usage, then each flag with its variable, default and description.
std::string HelpText(std::string_view program, std::string_view usage);

/// Applies the command line and the environment of the process. Must be called first in `main`.
///
/// `--help` and `--version` print to stdout; an invalid setting prints one line to stderr. `argc`
/// and `argv` keep the program name and the arguments that are not flags.
/// @return Exit code when the program must exit, empty when it may run.
std::optional<int> ParseSettings(int* argc, char*** argv, const std::string& usage);

/// Writes one line about an invalid setting to stderr; also for checks that involve several flags.
/// @return `kExitInvalidSetting`, to be returned by `main`.
int ReportInvalidSetting(std::string_view message);

std::string_view ReleaseVersion();

}  // namespace bamboodock
