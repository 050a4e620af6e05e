#include "bamboodock/query/sidecar/sidecar_queries.h"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <nlohmann/json.hpp>

#include "bamboodock/query/common/process_queries.h"

namespace bamboodock {

HttpResponse SidecarQueries::Answer(const HttpRequest& request) const {
  struct Route {
    std::string_view path;
    HttpResponse (SidecarQueries::*method)(const HttpRequest&) const;
  };
  static constexpr std::array kRoutes{
      Route{"/healthz", &SidecarQueries::Health},
      Route{"/readyz", &SidecarQueries::Ready},
      Route{"/metrics", &SidecarQueries::Metrics},
      Route{"/queries/timeline", &SidecarQueries::Timeline},
      Route{"/queries/status", &SidecarQueries::Status},
  };
  for (const Route& route : kRoutes) {
    if (route.path == request.path) return (this->*route.method)(request);
  }
  return TextResponse(404, "no such query\n");
}

HttpResponse SidecarQueries::Health(const HttpRequest& /*request*/) const {
  return TextResponse(200, "ok\n");
}

HttpResponse SidecarQueries::Ready(const HttpRequest& /*request*/) const {
  const bool fresh = config_.snapshot()->IsFresh(std::chrono::steady_clock::now());
  const bool ready = fresh && !admission_.snapshot()->leaving;
  return ready ? TextResponse(200, "ready\n") : TextResponse(503, "not ready\n");
}

HttpResponse SidecarQueries::Metrics(const HttpRequest& /*request*/) const {
  const Ref<const AdmissionSnapshot> admission = admission_.snapshot();
  std::string text;
  const auto append_metric = [&](const char* name, const char* type, std::uint64_t value) {
    text += fmt::format("# TYPE {0} {1}\n{0} {2}\n", name, type, value);
  };
  append_metric("bamboodock_sidecar_in_flight", "gauge", admission->in_flight.value());
  append_metric("bamboodock_sidecar_limit", "gauge", admission->limit.value());
  append_metric("bamboodock_sidecar_admitted_total", "counter", admission->admitted);
  append_metric("bamboodock_sidecar_refused_total", "counter", admission->refused);
  append_metric("bamboodock_config_epoch", "gauge", config_.snapshot()->epoch().value());
  append_metric("bamboodock_timeline_dropped_total", "counter", timeline_.dropped());
  text += admission->first_token.Prometheus("bamboodock_sidecar_first_token_seconds", "");
  return TextResponse(200, std::move(text));
}

HttpResponse SidecarQueries::Timeline(const HttpRequest& request) const {
  const RequestId id(request.QueryParameter("request"));
  return JsonResponse(200, TimelineJson(process_, *timeline_.snapshot(), id));
}

HttpResponse SidecarQueries::Status(const HttpRequest& /*request*/) const {
  const Ref<const ConfigSnapshot> config = config_.snapshot();
  const Ref<const AdmissionSnapshot> admission = admission_.snapshot();
  const auto now = std::chrono::steady_clock::now();
  return JsonResponse(200, nlohmann::json{{"process", process_},
                                          {"epoch", config->epoch().value()},
                                          {"fresh", config->IsFresh(now)},
                                          {"in_flight", admission->in_flight.value()},
                                          {"limit", admission->limit.value()},
                                          {"warm", admission->warm},
                                          {"leaving", admission->leaving}}
                               .dump());
}

}  // namespace bamboodock
