#include "bamboodock/query/entry/entry_queries.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "bamboodock/codec/error_codec.h"
#include "bamboodock/command/entry/request_context.h"
#include "bamboodock/query/common/process_queries.h"
#include "bamboodock/transport/http_client.h"

namespace bamboodock {
namespace {

using Json = nlohmann::json;

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Json EndpointJson(const EndpointReport& endpoint) {
  const bool leaving = endpoint.report.leaving;
  const char* state = !endpoint.has_report ? "not_heard" : leaving ? "leaving" : "up";
  return {{"id", endpoint.endpoint.value()},
          {"availability_zone", endpoint.availability_zone.value()},
          {"in_flight", endpoint.report.in_flight.value()},
          {"limit", endpoint.report.limit.value()},
          {"epoch", endpoint.report.epoch.value()},
          {"warm", endpoint.report.warm},
          {"age_ms", Milliseconds(endpoint.age)},
          {"state", state}};
}

/// Fetches the timeline events of one process over HTTP; empty when it does not answer.
Json FetchEvents(const Address& peer, const std::string& request) {
  HttpRequest http;
  http.path = "/queries/timeline";
  http.query = "scope=local&request=" + EncodeUrlComponent(request);
  return HandleFailure(
      [&]() -> Result<Json> {
        BOOST_LEAF_AUTO(response, HttpClient(peer).Call(http, config::kControlTimeout));
        const Json body = Json::parse(response.body, nullptr, false);
        return body.is_object() ? body.value("events", Json::array()) : Json::array();
      },
      [](const Failure& /*failure*/) { return Json::array(); });
}

}  // namespace

HttpResponse EntryQueries::Answer(const HttpRequest& request) const {
  struct Route {
    std::string_view path;
    HttpResponse (EntryQueries::*method)(const HttpRequest&) const;
  };
  static constexpr std::array kRoutes{
      Route{"/healthz", &EntryQueries::Health},
      Route{"/readyz", &EntryQueries::Ready},
      Route{"/metrics", &EntryQueries::Metrics},
      Route{"/queries/status", &EntryQueries::Status},
      Route{"/queries/set", &EntryQueries::Set},
      Route{"/queries/timeline", &EntryQueries::MergedTimeline},
      Route{"/v1/models", &EntryQueries::Models},
  };
  for (const Route& route : kRoutes) {
    if (route.path == request.path) return (this->*route.method)(request);
  }
  return FailureResponse({ResultCode::kNotFound, "no such path"});
}

HttpResponse EntryQueries::Health(const HttpRequest& /*request*/) const {
  return TextResponse(200, "ok\n");
}

HttpResponse EntryQueries::Ready(const HttpRequest& /*request*/) const {
  const Ref<const ConfigSnapshot> config = parts_.config.snapshot();
  const bool fresh = config->set() != nullptr && config->IsFresh(std::chrono::steady_clock::now());
  return fresh && !stopping_ ? TextResponse(200, "ready\n") : TextResponse(503, "not ready\n");
}

HttpResponse EntryQueries::Metrics(const HttpRequest& /*request*/) const {
  const Ref<const RouteSnapshot> routes = parts_.routes.snapshot();
  std::string text;
  const auto append_metric = [&](const char* name, const char* type, std::uint64_t value) {
    text += fmt::format("# TYPE {0} {1}\n{0} {2}\n", name, type, value);
  };
  append_metric("bamboodock_requests_total", "counter", routes->requests);
  append_metric("bamboodock_requests_failed_total", "counter", routes->failed);
  append_metric("bamboodock_retries_total", "counter", routes->retries);
  append_metric("bamboodock_requests_open", "gauge", routes->open_requests);
  append_metric("bamboodock_cost_micros_total", "counter", routes->cost.value());
  append_metric("bamboodock_ledger_held", "gauge", parts_.ledger.held());
  append_metric("bamboodock_config_epoch", "gauge", parts_.config.snapshot()->epoch().value());
  append_metric("bamboodock_timeline_dropped_total", "counter", parts_.timeline.dropped());
  text += routes->first_byte.Prometheus("bamboodock_first_byte_seconds", "");
  text += routes->total.Prometheus("bamboodock_request_seconds", "");
  return TextResponse(200, std::move(text));
}

HttpResponse EntryQueries::Status(const HttpRequest& /*request*/) const {
  const Ref<const ConfigSnapshot> config = parts_.config.snapshot();
  const auto now = std::chrono::steady_clock::now();
  const bool fresh = config->IsFresh(now);
  Json pending = Json::array();
  for (const PublishedSet& set : config->pending()) pending.push_back(set.publication.value());
  Json endpoints = Json::array();
  for (const EndpointReport& endpoint : parts_.routes.snapshot()->endpoints) {
    endpoints.push_back(EndpointJson(endpoint));
  }
  Json accounts = Json::array();
  if (config->set() != nullptr) {
    for (const ClientAccount& account : config->set()->accounts()) {
      accounts.push_back({{"id", account.id.value()}, {"rate", account.rate.value()}});
    }
  }
  const Duration age = fresh ? config->freshness().Age(now) : config::kFreshnessLimit;
  return JsonResponse(200, Json{{"process", parts_.process},
                                {"epoch", config->epoch().value()},
                                {"publication", config->current().publication.value()},
                                {"freshness_ms", Milliseconds(age)},
                                {"fresh", fresh},
                                {"witness_complete", config->complete()},
                                {"pending", std::move(pending)},
                                {"endpoints", std::move(endpoints)},
                                {"accounts", std::move(accounts)}}
                               .dump());
}

HttpResponse EntryQueries::Set(const HttpRequest& /*request*/) const {
  const Ref<const ConfigSnapshot> config = parts_.config.snapshot();
  if (!config->current().text) {
    return FailureResponse({ResultCode::kNoConfiguration, "no configuration has been published"});
  }
  return JsonResponse(200, *config->current().text);
}

HttpResponse EntryQueries::LocalTimeline(const HttpRequest& request) const {
  const RequestId id(request.QueryParameter("request"));
  return JsonResponse(200, TimelineJson(parts_.process, *parts_.timeline.snapshot(), id));
}

HttpResponse EntryQueries::MergedTimeline(const HttpRequest& request) const {
  if (request.QueryParameter("scope") == "local") return LocalTimeline(request);
  const std::string id = request.QueryParameter("request");
  Json events = Json::parse(LocalTimeline(request).body).at("events");
  std::vector<Address> peers = parts_.peers;
  const Ref<const ConfigSnapshot> config = parts_.config.snapshot();
  if (config->set() != nullptr) {
    for (const Endpoint& endpoint : config->set()->endpoints()) {
      HandleFailure(
          [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(address, ParseAddress(endpoint.address));
            peers.push_back(address);
            return true;
          },
          [](const Failure& /*failure*/) { return false; });
    }
  }
  for (const Address& peer : peers) {
    for (Json& event : FetchEvents(peer, id)) events.push_back(std::move(event));
  }
  std::stable_sort(events.begin(), events.end(), [](const Json& a, const Json& b) {
    return a.value("at_us", std::uint64_t{0}) < b.value("at_us", std::uint64_t{0});
  });
  return JsonResponse(200, Json{{"events", std::move(events)}}.dump());
}

HttpResponse EntryQueries::Models(const HttpRequest& request) const {
  return HandleFailure(
      [&]() -> Result<HttpResponse> {
        const Ref<const ConfigSnapshot> config = parts_.config.snapshot();
        BOOST_LEAF_AUTO(id, Authenticate(*config, request));
        const ClientAccount& account = *config->set()->Find(id);
        Json data = Json::array();
        const auto add = [&](const std::string& name) {
          data.push_back({{"id", name}, {"object", "model"}, {"owned_by", "bamboodock"}});
        };
        for (const Version& version : config->set()->versions()) {
          const bool offered = version.stage != VersionStage::kWithdrawn;
          if (!offered || !account.Allows(version.model, version.id)) continue;
          add(version.model.value() + "@" + version.id.value());
        }
        for (const Cascade& cascade : config->set()->cascades()) add(cascade.id.value());
        for (const ModelGrant& grant : account.models) add(grant.model.value());
        return JsonResponse(200, Json{{"object", "list"}, {"data", std::move(data)}}.dump());
      },
      [](const Failure& failure) { return FailureResponse(failure); });
}

}  // namespace bamboodock
