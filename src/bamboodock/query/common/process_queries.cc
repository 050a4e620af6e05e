#include "bamboodock/query/common/process_queries.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace bamboodock {

std::string TimelineJson(const std::string& process, const TimelineSnapshot& timeline,
                         const RequestId& request) {
  using Json = nlohmann::json;
  Json events = Json::array();
  for (const TimelineEvent& event : timeline.Events(request)) {
    events.push_back({{"at_us", event.at.value()},
                      {"process", process},
                      {"event", static_cast<int>(event.event)},
                      {"name", Name(event.event)},
                      {"request", event.request.value()},
                      {"detail", event.detail}});
  }
  return Json{{"events", std::move(events)}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

HttpResponse JsonResponse(int status, std::string body) {
  return HttpResponse{status, {{"Content-Type", "application/json"}}, std::move(body)};
}

HttpResponse TextResponse(int status, std::string body) {
  return HttpResponse{status, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(body)};
}

}  // namespace bamboodock
