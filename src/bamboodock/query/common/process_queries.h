#pragma once

#include <atomic>
#include <string>

#include "bamboodock/observe/timeline.h"
#include "bamboodock/transport/http_types.h"

namespace bamboodock {

/// Encodes the timeline events of `request`, or all events when it is empty, as JSON.
std::string TimelineJson(const std::string& process, const TimelineSnapshot& timeline,
                         const RequestId& request);

HttpResponse JsonResponse(int status, std::string body);

/// Response with a plain-text body, in the content type that Prometheus expects.
HttpResponse TextResponse(int status, std::string body);

}  // namespace bamboodock
