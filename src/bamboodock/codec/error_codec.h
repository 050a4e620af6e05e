#pragma once

#include <string>
#include <vector>

#include "bamboodock/core/failure.h"
#include "bamboodock/transport/http_types.h"

namespace bamboodock {

/// Response that reports a failure to a caller: status, run state, error body and, for status 429
/// and 503, a `Retry-After` from the hint of the failure, at least 1 s.
HttpResponse FailureResponse(const Failure& failure);

/// Body {"error": {"message", "type", "code", "run"}} of a failure.
std::string FailureBody(const Failure& failure);

}  // namespace bamboodock
