#include "bamboodock/standin/query/engine_queries.h"

#include "bamboodock/standin/routes.h"

namespace bamboodock::standin {

using nlohmann::json;

bool EngineQueries::Handle(const HttpRequest& request, ResponseWriter& writer) const {
  using Method = void (EngineQueries::*)(const HttpRequest&, ResponseWriter&) const;
  static constexpr std::array kRoutes{
      Route<Method>{"GET", "/load", &EngineQueries::Load},
      Route<Method>{"GET", "/state", &EngineQueries::State},
      Route<Method>{"GET", "/events", &EngineQueries::Events},
      Route<Method>{"GET", "/counters", &EngineQueries::Counters},
  };
  return Dispatch(*this, kRoutes, request, writer);
}

void EngineQueries::Load(const HttpRequest& /*request*/, ResponseWriter& writer) const {
  const Ref<const LoadReport> load = duty_.load();
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(clock_.Now() - load->taken_at);
  SendJson(writer, 200,
           {{"running", load->running.value()},
            {"queued", load->queued.value()},
            {"warm", load->warm},
            {"age_ms", age.count()}});
}

void EngineQueries::State(const HttpRequest& /*request*/, ResponseWriter& writer) const {
  const Ref<const EngineState> state = duty_.state();
  json versions = json::array();
  for (const VersionId& version : state->loaded) versions.push_back(version.value());
  json orders = json::array();
  for (const EngineOrder& order : state->orders) {
    orders.push_back({{"fencing", order.fencing.value()},
                      {"action", order.action},
                      {"version", order.version.value()}});
  }
  SendJson(writer, 200,
           {{"versions", std::move(versions)},
            {"fencing", state->highest.value()},
            {"orders", std::move(orders)}});
}

void EngineQueries::Events(const HttpRequest& request, ResponseWriter& writer) const {
  const SequenceNumber after(NumberParameter(request, "after", 0));
  const Ref<const CacheEvents> snapshot = duty_.cache_events();
  json events = json::array();
  for (const CacheEvent& event : snapshot->events) {
    if (event.sequence <= after || event.visible_at > clock_.Now()) continue;
    events.push_back({{"sequence", event.sequence.value()},
                      {"type", event.stored ? "stored" : "removed"},
                      {"prefix", event.prefix.value()}});
  }
  SendJson(writer, 200, {{"events", std::move(events)}});
}

void EngineQueries::Counters(const HttpRequest& /*request*/, ResponseWriter& writer) const {
  const Ref<const EngineCounters> counters = duty_.counters();
  SendJson(writer, 200,
           {{"started", counters->started},
            {"finished", counters->finished},
            {"cancelled", counters->cancelled},
            {"cold_overloads", counters->cold_overloads},
            {"prefix_hits", counters->prefix_hits},
            {"max_running", counters->max_running.value()},
            {"max_running_cold", counters->max_running_cold.value()},
            {"tokens", counters->tokens.value()}});
}

}  // namespace bamboodock::standin
