#pragma once

#include <string>
#include <vector>

#include "bamboodock/core/failure.h"
#include "bamboodock/transport/http_types.h"

namespace bamboodock {

/// Response that tells a caller of a failure: status, run state, retry hint and error body.
HttpResponse FailureResponse(const Failure& failure);

/// Body {"error": {"message", "type", "code", "run"}} of a failure.
std::string FailureBody(const Failure& failure);

}  // namespace bamboodock
