#include "bamboodock/policy/latency_baseline.h"

#include <algorithm>
#include <chrono>

namespace bamboodock {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr double kSmoothing = 0.1;
/// The head of an answer is late beyond so many times the usual; a long prompt or a queue delays a
/// sound engine by two or three times.
constexpr double kSlowHead = 4.0;
/// Events are slow beyond so many times the usual interval, which varies less than the head.
constexpr double kSlowEvents = 2.0;
/// Time to the head of an answer of an idle endpoint: a base, and a time for each prompt token.
constexpr Seconds kBaseTime{0.06};
constexpr Seconds kTokenTime{25e-6};
/// Least ratio by which another is divided.
constexpr double kLeastRatio = 1e-3;

/// Time to the head of an answer over that expected from the prompt alone.
double RelativeLatency(const AttemptReport& report) {
  const Seconds latency = *report.head_latency;
  return latency / (kBaseTime + kTokenTime * static_cast<double>(report.prompt_tokens.value()));
}

/// Moves `mean` towards `value`; one value beyond `limit` times the mean counts as that.
void Smooth(double& mean, double value, double limit) {
  mean += kSmoothing * (std::min(value, limit * mean) - mean);
}

}  // namespace

double LatencyBaseline::HeadLatencyRatio(const AttemptReport& report) {
  const double latency = RelativeLatency(report);
  const double usual = head_.try_emplace({report.route, report.model}, latency).first->second;
  return latency / std::max(usual, kLeastRatio);
}

void LatencyBaseline::Learn(const AttemptReport& report) {
  const Key key{report.route, report.model};
  if (report.head_latency) {
    const double latency = RelativeLatency(report);
    Smooth(head_.try_emplace(key, latency).first->second, latency, kSlowHead);
  }
  if (report.event_interval) {
    const double interval = Seconds(*report.event_interval).count();
    Smooth(event_interval_.try_emplace(key, interval).first->second, interval, kSlowEvents);
  }
}

LatencyBaseline::Verdict LatencyBaseline::Judge(const AttemptReport& report) const {
  const Key key{report.route, report.model};
  Verdict verdict;
  const auto head = head_.find(key);
  if (report.head_latency && head != head_.end()) {
    verdict.late_head = RelativeLatency(report) > kSlowHead * head->second;
  }
  const auto usual = event_interval_.find(key);
  if (report.event_interval && usual != event_interval_.end()) {
    verdict.slow_events = Seconds(*report.event_interval).count() > kSlowEvents * usual->second;
  }
  return verdict;
}

}  // namespace bamboodock
