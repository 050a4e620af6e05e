#include "bamboodock/observe/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>

namespace bamboodock {
namespace {

constexpr std::array kWarnings{
    Event::kPublishRefused,  Event::kFreshnessLost,    Event::kRequestFailed,
    Event::kAttemptFailed,   Event::kClaimFailed,      Event::kEngineSilent,
    Event::kEndpointCold,    Event::kBillingTakenOver, Event::kStoreFailed,
    Event::kPeerUnreachable, Event::kOrderRefused,     Event::kVersionStopped,
    Event::kLeaseLost,
};

spdlog::level::level_enum LevelOf(Event event) {
  for (const Event warning : kWarnings) {
    if (warning == event) return spdlog::level::warn;
  }
  const int group = static_cast<int>(event) / 100;
  return group == 3 || group == 4 || group == 5 ? spdlog::level::debug : spdlog::level::info;
}

}  // namespace

void InitLog(const std::string& process, const std::string& level) {
  auto logger = spdlog::stderr_logger_mt(process);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%fZ %n %l %v", spdlog::pattern_time_type::utc);
  logger->set_level(spdlog::level::from_str(level));
  spdlog::set_default_logger(std::move(logger));
}

void LogEvent(Event event, const RequestId& request, const std::string& detail) {
  spdlog::log(LevelOf(event), "event={} name={} request={} detail=\"{}\"", static_cast<int>(event),
              Name(event), request.value(), detail);
}

}  // namespace bamboodock
