#include "bamboodock/observe/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>

namespace bamboodock {
namespace {

/// Lines queued for the writer thread; when the queue is full, the oldest line is dropped.
constexpr std::size_t kLogQueueCapacity = 8192;

constexpr std::array kWarningEvents{
    Event::kPublishRefused,   Event::kFreshnessLost,    Event::kRequestFailed,
    Event::kAttemptFailed,    Event::kClaimFailed,      Event::kEngineSilent,
    Event::kEndpointCold,     Event::kBillingTakenOver, Event::kStoreFailed,
    Event::kPeerUnreachable,  Event::kOrderRefused,     Event::kVersionStopped,
    Event::kLeaseLost,        Event::kConfigRejected,   Event::kEndpointRejected,
    Event::kRolloutJudgedBad, Event::kStoreWriteFailed, Event::kPeerLost,
    Event::kRequestBroken,    Event::kCallerRejected,
};

spdlog::level::level_enum LevelOf(Event event) {
  for (const Event warning : kWarningEvents) {
    if (warning == event) return spdlog::level::warn;
  }
  const int group = static_cast<int>(event) / 100;
  return group == 3 || group == 4 || group == 5 ? spdlog::level::debug : spdlog::level::info;
}

}  // namespace

void InitLog(const std::string& process, const std::string& level) {
  spdlog::init_thread_pool(kLogQueueCapacity, 1);
  auto logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>(process);
  logger->flush_on(spdlog::level::info);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%fZ %n %l %v", spdlog::pattern_time_type::utc);
  logger->set_level(spdlog::level::from_str(level));
  spdlog::set_default_logger(std::move(logger));
}

void LogEvent(Event event, const RequestId& request, const std::string& detail) {
  spdlog::log(LevelOf(event), "event={} name={} request={} detail=\"{}\"", static_cast<int>(event),
              Name(event), request.value(), detail);
}

void CloseLog() { spdlog::shutdown(); }

std::uint64_t DroppedLogLines() {
  const auto pool = spdlog::thread_pool();
  return pool == nullptr ? 0 : pool->overrun_counter();
}

}  // namespace bamboodock
