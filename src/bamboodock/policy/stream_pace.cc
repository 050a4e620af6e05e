#include "bamboodock/policy/stream_pace.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace bamboodock {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr double kSmoothing = 0.05;
/// A model without observations for this long may have become faster meanwhile.
constexpr std::chrono::seconds kMaxAge{30};
/// Limit of the ratio of prices as an estimate of the ratio of times.
constexpr double kMaxPriceRatio = 10;

double ToDouble(Tokens tokens) { return static_cast<double>(tokens.value()); }

/// Ratio of the times of two models, estimated from their prices.
double TimeRatio(const PricedModel& larger, const PricedModel& smaller) {
  if (!(larger.price > 0) || !(smaller.price > 0)) return kMaxPriceRatio;
  return std::clamp(larger.price / smaller.price, 1.0, kMaxPriceRatio);
}

}  // namespace

void StreamPace::Mean::Add(double sample, MonotonicTime now) {
  updated = now;
  ++count;
  if (count == 1) {
    value = sample;
    return;
  }
  const double step = std::max(kSmoothing, 1.0 / count);
  value += step * (sample - value);
}

void StreamPace::Learn(const AttemptReport& report, MonotonicTime now) {
  for (const Key& key : {Key{report.route, report.model}, Key{RouteId(), report.model}}) {
    if (!report.head_latency) break;
    Pace& pace = paces_[key];
    // An answer that came under way has told its head latency before.
    const bool told = report.early_event_interval && report.stream_events > 0;
    if (!told) pace.head.Add(Seconds(*report.head_latency).count(), now);
    if (report.event_interval) pace.interval.Add(Seconds(*report.event_interval).count(), now);
  }
  if (report.stream_events == 0) return;
  const auto events = static_cast<double>(report.stream_events);
  const auto learn = [&](std::map<RouteId, Mean>& ratios, Tokens tokens) {
    if (tokens.value() == 0) return;
    for (const RouteId& route : {report.route, RouteId()}) {
      ratios[route].Add(events / ToDouble(tokens), now);
    }
  };
  learn(events_per_token_, report.max_output_tokens);
  learn(events_per_expected_token_, report.expected_output_tokens.value_or(Tokens(0)));
}

const StreamPace::Pace* StreamPace::Find(const RouteId& route, const ModelId& model,
                                         MonotonicTime now) const {
  const Pace* old = nullptr;
  for (const Key& key : {Key{route, model}, Key{RouteId(), model}}) {
    const auto found = paces_.find(key);
    if (found == paces_.end() || found->second.interval.count == 0) continue;
    if (now - found->second.interval.updated <= kMaxAge) return &found->second;
    if (old == nullptr) old = &found->second;
  }
  return old;
}

double StreamPace::ExpectedEvents(const AnswerToExpect& answer) const {
  const auto ratio = [&](const std::map<RouteId, Mean>& ratios) {
    auto found = ratios.find(answer.route);
    // Engines put about as many tokens into an event on every route.
    if (found == ratios.end()) found = ratios.find(RouteId());
    return found == ratios.end() ? 0.0 : found->second.value;
  };
  const double longest = ToDouble(answer.max_output_tokens);
  const Tokens expected = answer.expected_output_tokens.value_or(Tokens(0));
  if (expected.value() == 0) return longest * ratio(events_per_token_);
  const double hinted = ToDouble(expected) * ratio(events_per_expected_token_);
  const double usual = longest * ratio(events_per_token_);
  // Hints are often far off by a factor, so the usual length counts as much.
  return usual > 0 ? std::sqrt(hinted * usual) : hinted;
}

std::optional<AnswerEstimate> StreamPace::Expected(const AnswerToExpect& answer, std::size_t model,
                                                   MonotonicTime now) const {
  const double events = ExpectedEvents(answer);
  if (events <= 0) return std::nullopt;
  const auto time = [](double seconds) {
    return std::chrono::duration_cast<Duration>(Seconds(seconds));
  };
  for (std::size_t i = model + 1; i-- > 0;) {
    const Pace* pace = Find(answer.route, answer.models[i].id, now);
    if (pace == nullptr) continue;
    const double ratio = i == model ? 1 : TimeRatio(answer.models[model], answer.models[i]);
    const bool stale = now - pace->interval.updated > kMaxAge;
    return AnswerEstimate{time(ratio * (pace->head.value + events * pace->interval.value)),
                          i != model || stale};
  }
  return std::nullopt;
}

}  // namespace bamboodock
