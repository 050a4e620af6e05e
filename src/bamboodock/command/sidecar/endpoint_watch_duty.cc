#include "bamboodock/command/sidecar/endpoint_watch_duty.h"

#include "bamboodock/codec/load_report.h"

namespace bamboodock {

MonotonicTime EndpointWatchDuty::Tick() {
  admission_.Post(Ask());
  return std::chrono::steady_clock::now() + config::kSyncInterval;
}

LoadReportCommand EndpointWatchDuty::Ask() const {
  HttpRequest request;
  request.path = "/load";
  return HandleFailure(
      [&]() -> Result<LoadReportCommand> {
        BOOST_LEAF_AUTO(response, client_.Call(request, config::kControlTimeout));
        BOOST_LEAF_AUTO(report, DecodeLoadReport(response.body));
        return LoadReportCommand{true, report.warm, report.running + report.queued, report.age};
      },
      [](const Failure& /*failure*/) { return LoadReportCommand{}; });
}

}  // namespace bamboodock
