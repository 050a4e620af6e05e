#include "bamboodock/command/sidecar/load_poll_duty.h"

#include "bamboodock/codec/load_report.h"

namespace bamboodock {

MonotonicTime LoadPollDuty::Tick() {
  admission_.Post(PollLoad());
  return std::chrono::steady_clock::now() + config::kSyncInterval;
}

LoadReportCommand LoadPollDuty::PollLoad() const {
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
