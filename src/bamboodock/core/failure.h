#pragma once

#include <chrono>
#include <string>
#include <utility>

#include "bamboodock/core/result_code.h"

namespace bamboodock {

/// Error value carried by `Result` and shown to callers.
struct Failure {
  ResultCode code = ResultCode::kInternal;
  std::string detail;
  /// Whether the work of the request ran.
  RunState run = RunState::kNotRun;
  /// Time to wait before a retry; zero when no hint is given.
  std::chrono::milliseconds retry_after{0};
};

}  // namespace bamboodock
