#pragma once

#include <boost/leaf.hpp>
#include <string>
#include <utility>

#include "bamboodock/core/failure.h"

namespace bamboodock {

/// Value or a `Failure`, transported by Boost.LEAF.
template <class T>
using Result = boost::leaf::result<T>;

/// Raises `failure`; a function that returns `Result` must return the error id.
inline boost::leaf::error_id Raise(Failure failure) {
  return boost::leaf::new_error(std::move(failure));
}

inline boost::leaf::error_id Raise(ResultCode code, std::string detail,
                                   RunState run = RunState::kNotRun) {
  return Raise(Failure{code, std::move(detail), run, {}});
}

/// Runs `attempt`, which returns `Result<T>`, and converts a failure to a `T` with `on_failure`. An
/// error without a `Failure` is passed on as `kInternal`.
template <class Attempt, class OnFailure>
auto HandleFailure(Attempt&& attempt, OnFailure&& on_failure) {
  return boost::leaf::try_handle_all(
      std::forward<Attempt>(attempt), [&](const Failure& failure) { return on_failure(failure); },
      [&] {
        return on_failure(Failure{ResultCode::kInternal, "error without failure details"});
      });
}

}  // namespace bamboodock
