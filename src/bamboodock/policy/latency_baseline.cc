#include "bamboodock/policy/latency_baseline.h"

#include <algorithm>
#include <chrono>

namespace bamboodock {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr double kSmoothing = 0.1;
/// The head of an answer is late above this multiple of the baseline; a long prompt or a queue
/// delays the head from a healthy engine to two or three times the baseline.
constexpr double kLateHeadRatio = 4.0;
/// Events are slow above this multiple of the baseline interval, which varies less than the head
/// latency.
constexpr double kSlowEventsRatio = 2.0;
/// Head latency of an idle endpoint: a base time, and a time for each prompt token.
constexpr Seconds kBaseTime{0.06};
constexpr Seconds kTokenTime{25e-6};
/// Minimum divisor of a ratio.
constexpr double kMinRatio = 1e-3;

/// Head latency divided by that expected from the length of the prompt alone.
double RelativeLatency(const AttemptReport& report) {
  const Seconds latency = *report.head_latency;
  return latency / (kBaseTime + kTokenTime * static_cast<double>(report.prompt_tokens.value()));
}

/// Exponential smoothing of `mean`; `value` is capped at `limit` times the mean.
void Smooth(double& mean, double value, double limit) {
  mean += kSmoothing * (std::min(value, limit * mean) - mean);
}

}  // namespace

double LatencyBaseline::HeadLatencyRatio(const AttemptReport& report) {
  const double latency = RelativeLatency(report);
  const double baseline =
      relative_head_latency_.try_emplace({report.route, report.model}, latency).first->second;
  return latency / std::max(baseline, kMinRatio);
}

void LatencyBaseline::Learn(const AttemptReport& report) {
  const Key key{report.route, report.model};
  if (report.head_latency) {
    const double latency = RelativeLatency(report);
    Smooth(relative_head_latency_.try_emplace(key, latency).first->second, latency, kLateHeadRatio);
  }
  if (report.event_interval) {
    const double interval = Seconds(*report.event_interval).count();
    Smooth(event_interval_.try_emplace(key, interval).first->second, interval, kSlowEventsRatio);
  }
  if (report.early_event_interval) {
    early_event_interval_[key].Add(Seconds(*report.early_event_interval).count());
  }
}

LatencyBaseline::Verdict LatencyBaseline::Judge(const AttemptReport& report) const {
  const Key key{report.route, report.model};
  Verdict verdict;
  const auto head = relative_head_latency_.find(key);
  if (report.head_latency && head != relative_head_latency_.end()) {
    verdict.late_head = RelativeLatency(report) > kLateHeadRatio * head->second;
  }
  const auto baseline = event_interval_.find(key);
  if (baseline != event_interval_.end()) {
    const auto is_slow = [&](const std::optional<Duration>& interval) {
      return interval && Seconds(*interval).count() > kSlowEventsRatio * baseline->second;
    };
    verdict.slow_events = is_slow(report.event_interval);
    verdict.slow_early_events = is_slow(report.early_event_interval);
  }
  const auto early = early_event_interval_.find(key);
  if (report.early_event_interval && early != early_event_interval_.end()) {
    verdict.above_quartile = early->second.IsAbove(Seconds(*report.early_event_interval).count());
  }
  return verdict;
}

}  // namespace bamboodock
