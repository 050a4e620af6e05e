#pragma once

#include <functional>
#include <string>

#include "bamboodock/command/router/router_counters.h"
#include "bamboodock/query/router/router_status.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock {

/// Serves `GET /metrics` in the Prometheus text format, and 404 for other paths. Reads only
/// counters and snapshots, so any thread may call it.
class MetricsQuery final : public HttpHandler {
 public:
  MetricsQuery(const RouterCounters& counters, std::function<Ref<const RouterStatus>()> status)
      : counters_(counters), status_(std::move(status)) {}

  void Handle(const HttpRequest& request, ResponseWriter& writer) override;
  /// Text of the metrics page.
  std::string Text() const;

 private:
  const RouterCounters& counters_;
  std::function<Ref<const RouterStatus>()> status_;
};

}  // namespace bamboodock
