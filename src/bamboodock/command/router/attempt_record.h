#pragma once

#include <optional>

#include "bamboodock/command/router/route_commands.h"
#include "bamboodock/core/units.h"
#include "bamboodock/policy/mean_event_interval.h"
#include "bamboodock/routing/attempt_plan.h"

namespace bamboodock {

/// What one attempt of a request has shown so far.
struct AttemptRecord {
  /// An answer of which this many events have arrived is under way: the endpoint has processed the
  /// prompt and writes the answer.
  static constexpr std::uint64_t kEventsUnderWay = 4;

  explicit AttemptRecord(MonotonicTime now) : started(now) {}

  /// When the attempt began, and from `sent` on when the request was sent.
  MonotonicTime started;
  /// Whether the endpoint may have received the request.
  bool sent = false;
  /// Time from the plan until the request was sent; empty when it was not sent.
  std::optional<Duration> connect_time;
  std::optional<Duration> head_latency;
  /// Complete events that have arrived.
  std::uint64_t events = 0;
  MeanEventInterval event_interval;
  /// The interval when the answer came under way.
  std::optional<Duration> early_event_interval;
  /// Confidence that the model reports for its answer, 0 to 100.
  std::optional<std::uint32_t> confidence;
  /// Whether the answer states that its endpoint drains.
  bool draining = false;
  /// Rate limit that the answer names.
  std::optional<RequestRate> rate_limit;
  /// Whether the connection was lost before the end of the answer.
  bool connection_lost = false;
  /// Whether the answer ended as its framing says. One without framing ends with its connection,
  /// and so does an endpoint that crashes.
  bool framed_end = false;

  void OnSent(MonotonicTime now) {
    connect_time = now - started;
    started = now;
    sent = true;
  }
  /// Records that events have arrived; returns whether the answer has come under way with them.
  bool OnEvents(std::uint64_t count, MonotonicTime now) {
    const bool was_under_way = IsUnderWay();
    events += count;
    event_interval.Add(count, now);
    if (was_under_way || !IsUnderWay()) return false;
    early_event_interval = event_interval.Interval();
    return true;
  }
  bool IsUnderWay() const { return events >= kEventsUnderWay; }
  /// Whether the answer was lost before it was under way.
  bool IsLostEarly() const { return sent && connection_lost && !IsUnderWay(); }
  /// What the end of the attempt tells about the prompt; empty when it tells nothing new.
  std::optional<PromptFate> Fate(AttemptOutcome outcome) const;

  /// Report of the attempt. `stream_events` is left to the caller.
  AttemptReport MakeReport(const AttemptPlan& plan, const RequestMetadata& request,
                           AttemptOutcome outcome) const;
};

}  // namespace bamboodock
