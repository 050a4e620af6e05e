#include "bamboodock/query/router/metrics_query.h"

#include <fmt/format.h>

#include <array>
#include <string_view>
#include <utility>

#include "bamboodock/observe/log.h"

namespace bamboodock {
namespace {

struct CounterRow {
  std::string_view name;
  std::string_view type;
  std::atomic<std::uint64_t> RouterCounters::*value;
};

constexpr std::array kRows{
    CounterRow{"bamboodock_requests_total", "counter", &RouterCounters::requests},
    CounterRow{"bamboodock_answered_total", "counter", &RouterCounters::answered},
    CounterRow{"bamboodock_refused_total", "counter", &RouterCounters::refused},
    CounterRow{"bamboodock_broken_total", "counter", &RouterCounters::broken},
    CounterRow{"bamboodock_callers_left_total", "counter", &RouterCounters::callers_left},
    CounterRow{"bamboodock_attempts_total", "counter", &RouterCounters::attempts},
    CounterRow{"bamboodock_repeats_total", "counter", &RouterCounters::repeats},
    CounterRow{"bamboodock_resumes_total", "counter", &RouterCounters::resumes},
    CounterRow{"bamboodock_answers_over_limit_total", "counter",
               &RouterCounters::answers_over_limit},
    CounterRow{"bamboodock_answers_lost_early_total", "counter",
               &RouterCounters::answers_lost_early},
    CounterRow{"bamboodock_prompts_refused_total", "counter", &RouterCounters::prompts_refused},
    CounterRow{"bamboodock_refused_at_limit_total", "counter", &RouterCounters::refused_at_limit},
    CounterRow{"bamboodock_answers_draining_total", "counter", &RouterCounters::answers_draining},
    CounterRow{"bamboodock_unreadable_load_reports_total", "counter",
               &RouterCounters::unreadable_load_reports},
    CounterRow{"bamboodock_request_writes_failed_total", "counter",
               &RouterCounters::request_writes_failed},
    CounterRow{"bamboodock_held_bytes", "gauge", &RouterCounters::held_bytes},
    CounterRow{"bamboodock_held_bytes_limit", "gauge", &RouterCounters::held_bytes_limit},
    CounterRow{"bamboodock_refused_for_memory_total", "counter",
               &RouterCounters::refused_for_memory},
    CounterRow{"bamboodock_uploads_given_up_total", "counter", &RouterCounters::uploads_given_up},
    CounterRow{"bamboodock_connections_evicted_total", "counter",
               &RouterCounters::connections_evicted},
    CounterRow{"bamboodock_open_connections", "gauge", &RouterCounters::open_connections},
    CounterRow{"bamboodock_open_requests", "gauge", &RouterCounters::open_requests},
    CounterRow{"bamboodock_store_era", "gauge", &RouterCounters::store_era},
    CounterRow{"bamboodock_store_returns_total", "counter", &RouterCounters::store_returns},
    CounterRow{"bamboodock_store_rows_outdated_total", "counter",
               &RouterCounters::store_rows_outdated},
    CounterRow{"bamboodock_store_rows_held", "gauge", &RouterCounters::store_rows_held},
};

void AppendGauge(std::string& text, std::string_view name, double value) {
  text += fmt::format("# TYPE {0} gauge\n{0} {1}\n", name, value);
}

/// One series for each position of a model.
void AppendByModel(
    std::string& text, std::string_view name,
    const std::array<std::atomic<std::uint64_t>, RouterCounters::kModelPositions>& values) {
  text += fmt::format("# TYPE {} counter\n", name);
  for (std::size_t i = 0; i < values.size(); ++i) {
    text += fmt::format("{}{{position=\"{}\"}} {}\n", name, i, values.at(i).load());
  }
}

void AppendSlowdown(std::string& text, const SlowdownQuantiles& quantiles) {
  constexpr std::string_view kName = "bamboodock_endpoint_slowdown";
  text += fmt::format("# TYPE {} gauge\n", kName);
  for (const auto& [quantile, slowdown] :
       {std::pair(0.1, quantiles.low), std::pair(0.5, quantiles.median),
        std::pair(0.9, quantiles.high)}) {
    text += fmt::format("{}{{quantile=\"{}\"}} {}\n", kName, quantile, slowdown.value());
  }
}

void AppendLatency(std::string& text, const RouterCounters& counters) {
  constexpr std::string_view kName = "bamboodock_answer_seconds";
  text += fmt::format("# TYPE {} histogram\n", kName);
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < RouterCounters::kLatencyBoundsMs.size(); ++i) {
    total += counters.latency.at(i);
    text += fmt::format("{}_bucket{{le=\"{}\"}} {}\n", kName,
                        RouterCounters::kLatencyBoundsMs.at(i) / 1000.0, total);
  }
  total += counters.latency.back();
  text += fmt::format("{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_count {1}\n{0}_sum {2}\n", kName, total,
                      static_cast<double>(counters.latency_sum_ms) / 1000.0);
}

}  // namespace

std::string MetricsQuery::Text() const {
  std::string text;
  for (const CounterRow& row : kRows) {
    text +=
        fmt::format("# TYPE {0} {1}\n{0} {2}\n", row.name, row.type, (counters_.*row.value).load());
  }
  AppendByModel(text, "bamboodock_answers_by_model_total", counters_.answers_by_model);
  AppendByModel(text, "bamboodock_confidence_sum", counters_.confidence_sum);
  const Ref<const RouterStatus> status = status_();
  const auto version = status->table ? status->table->version().value() : 0;
  AppendGauge(text, "bamboodock_config_version", static_cast<double>(version));
  AppendGauge(text, "bamboodock_endpoints", static_cast<double>(status->endpoints));
  AppendGauge(text, "bamboodock_entries", status->entries);
  AppendGauge(text, "bamboodock_quarantined_prompt_parts",
              static_cast<double>(status->quarantined_prompt_parts));
  AppendGauge(text, "bamboodock_rate_limited_endpoints",
              static_cast<double>(status->rate_limited_endpoints));
  AppendSlowdown(text, status->slowdown);
  AppendGauge(text, "bamboodock_dropped_log_lines", static_cast<double>(DroppedLogLines()));
  AppendLatency(text, counters_);
  return text;
}

void MetricsQuery::Handle(const HttpRequest& request, ResponseWriter& writer) {
  HttpResponse response;
  if (request.path == "/metrics") {
    response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    response.body = Text();
  } else {
    response.status = 404;
  }
  writer.Send(response);
}

}  // namespace bamboodock
