#pragma once

namespace bamboodock {

/// Exit codes of the operator programs; docs/operator-guide.md explains them.
enum class ExitCode : int {
  kOk = 0,
  /// The router refused the command or query, or a set has errors.
  kRefused = 1,
  /// Wrong usage, setting or file.
  kUsageError = 2,
  /// No entry could be reached, and nothing was sent that could change state.
  kUnreachable = 3,
  /// Another publication was accepted first.
  kConflict = 4,
  /// A command was sent and its outcome is not known; a repeat with the same publication is
  /// harmless.
  kOutcomeUnknown = 5,
};

}  // namespace bamboodock
