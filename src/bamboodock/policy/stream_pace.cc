#include "bamboodock/policy/stream_pace.h"

#include <chrono>

namespace bamboodock {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr double kSmoothing = 0.05;

template <class Key>
void Smooth(std::map<Key, double>& means, const Key& key, double value) {
  double& mean = means.try_emplace(key, value).first->second;
  mean += kSmoothing * (value - mean);
}

}  // namespace

void StreamPace::Learn(const AttemptReport& report) {
  const Key key{report.route, report.model};
  if (report.head_latency) Smooth(head_latency_, key, Seconds(*report.head_latency).count());
  if (report.event_interval) Smooth(event_interval_, key, Seconds(*report.event_interval).count());
  if (report.stream_events == 0 || report.max_output_tokens.value() == 0) return;
  Smooth(events_per_token_, report.route,
         static_cast<double>(report.stream_events) /
             static_cast<double>(report.max_output_tokens.value()));
}

std::optional<Duration> StreamPace::Expected(const RouteId& route, const ModelId& model,
                                             Tokens max_output_tokens) const {
  const auto events_per_token = events_per_token_.find(route);
  const auto head = head_latency_.find({route, model});
  const auto interval = event_interval_.find({route, model});
  if (events_per_token == events_per_token_.end() || head == head_latency_.end() ||
      interval == event_interval_.end()) {
    return std::nullopt;
  }
  const double events = events_per_token->second * static_cast<double>(max_output_tokens.value());
  return std::chrono::duration_cast<Duration>(Seconds(head->second + events * interval->second));
}

}  // namespace bamboodock
