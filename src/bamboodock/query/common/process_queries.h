#pragma once

#include <atomic>
#include <string>

#include "bamboodock/observe/timeline.h"
#include "bamboodock/transport/http_types.h"

namespace bamboodock {

/// Encoded answers of the queries that every process serves.
std::string TimelineJson(const std::string& process, const TimelineSnapshot& timeline,
                         const RequestId& request);

/// Whole response with a JSON body.
HttpResponse JsonResponse(int status, std::string body);

/// Whole response with a text body.
HttpResponse TextResponse(int status, std::string body);

}  // namespace bamboodock
