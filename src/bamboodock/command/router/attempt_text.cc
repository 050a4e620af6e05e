#include "bamboodock/command/router/attempt_text.h"

#include <fmt/format.h>

namespace bamboodock {
namespace {

/// Milliseconds; -1 when there is no value.
std::int64_t MillisOrNone(const std::optional<Duration>& time) {
  return time ? ToMillis(*time) : -1;
}

/// Text of an error; empty when there is none.
std::string ErrorText(const SocketError& error) { return error ? error.message() : std::string(); }

/// Fields about a transfer that had errors or is not complete; empty otherwise.
std::string TransferText(const CallTrace& trace) {
  if (trace.sent_whole && !trace.read_error) return {};
  return fmt::format(" sent_bytes={} sent_whole={} write_error='{}' read_error='{}'",
                     trace.sent.value(), trace.sent_whole, ErrorText(trace.write_error),
                     ErrorText(trace.read_error));
}

}  // namespace

std::string AttemptText(const AttemptRecord& attempt, const AttemptReport& report,
                        const CallTrace* trace, std::string_view detail) {
  const std::string limit =
      attempt.rate_limit ? fmt::to_string(attempt.rate_limit->value()) : "none";
  const std::string transfer = trace != nullptr ? TransferText(*trace) : std::string();
  return fmt::format(
      "endpoint={} outcome={} connect_ms={} head_ms={} events={} event_ms={} draining={} limit={} "
      "note='{}'{}",
      report.endpoint.value(), Name(report.outcome), MillisOrNone(attempt.connect_time),
      MillisOrNone(attempt.head_latency), attempt.events, MillisOrNone(report.event_interval),
      attempt.draining, limit, detail, transfer);
}

}  // namespace bamboodock
