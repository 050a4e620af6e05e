#pragma once

namespace bamboodock {

/// Exit codes of the operator programs; docs/operator-guide.md explains them.
enum class ExitCode : int {
  kOk = 0,
  /// The entry refused the command or query, or an object set has errors.
  kRefused = 1,
  /// Invalid usage, setting or file.
  kUsageError = 2,
  /// No entry was reachable, and nothing was sent that could change state.
  kUnreachable = 3,
  /// Another publication was accepted first.
  kConflict = 4,
  /// A command was sent and its outcome is unknown; repeating it with the same publication id is
  /// harmless.
  kOutcomeUnknown = 5,
};

}  // namespace bamboodock
