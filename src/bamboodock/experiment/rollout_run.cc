#include "bamboodock/experiment/rollout_run.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <string>

#include "bamboodock/experiment/time.h"

namespace bamboodock::experiment {
namespace {

/// The fixed threshold withdraws above this error rate, once a window holds enough answers. With
/// windows as long as a roll-out step, a withdrawal took 1,444 s; with a minimum of 50 answers, 10%
/// of good versions were withdrawn.
constexpr double kErrorRateThreshold = 0.05;
constexpr std::uint64_t kMinThresholdAnswers = 200;
constexpr Duration kThresholdWindow = std::chrono::minutes(5);

}  // namespace

RolloutRun::RolloutRun(const RolloutSettings& settings, std::uint64_t seed)
    : settings_(settings), random_(seed), sources_(settings.sources), entries_(settings.entries) {
  for (std::size_t i = 0; i < sources_.size(); ++i) {
    sources_[i].id = IncarnationId("sidecar-" + std::to_string(i));
    sources_[i].sync_offset = FromSeconds(random_.Uniform() * ToSeconds(settings_.sync_interval));
  }
}

RolloutResult RolloutRun::Run() {
  OnArrival();
  loop_.RunUntil(settings_.end);
  return result_;
}

void RolloutRun::OnArrival() {
  const Duration inter_arrival_time = FromSeconds(1 / settings_.rate.value());
  loop_.After(DrawExponential(inter_arrival_time), [this] { OnArrival(); });
  if (!DrawBernoulli(settings_.steps[CurrentStep()].share)) return;
  if (entries_[random_.Below(entries_.size())].stopped) return;
  const bool degraded = loop_.now() >= settings_.degraded_from;
  const bool error =
      DrawBernoulli(degraded ? settings_.degraded_error_rate : settings_.normal_error_rate);
  const bool bad = DrawBernoulli(degraded ? settings_.degraded_bad_answer_rate
                                          : settings_.normal_bad_answer_rate);
  const std::size_t source = random_.Below(sources_.size());
  loop_.After(DrawExponential(settings_.mean_answer_time),
              [=, this] { OnAnswer(source, error, bad); });
}

void RolloutRun::OnAnswer(std::size_t source, bool error, bool bad) {
  ++result_.answers;
  if (loop_.now() >= settings_.degraded_from && (error || bad)) ++result_.bad_answers;
  EvidenceCounters& counters = sources_[source].counters;
  ++counters.answers;
  if (error) ++counters.errors;
  ScheduleSync(source);
  if (error || !DrawBernoulli(settings_.rated_share)) return;
  loop_.After(DrawExponential(settings_.mean_rating_delay), [=, this] { OnRating(source, bad); });
}

void RolloutRun::OnRating(std::size_t source, bool bad) {
  EvidenceCounters& counters = sources_[source].counters;
  ++counters.ratings;
  if (bad) ++counters.bad_ratings;
  ScheduleSync(source);
}

void RolloutRun::ScheduleSync(std::size_t source) {
  Source& sender = sources_[source];
  if (sender.sync_scheduled) return;
  sender.sync_scheduled = true;
  const Duration interval = settings_.sync_interval;
  const Duration interval_position = loop_.now().time_since_epoch() % interval;
  loop_.After((sender.sync_offset - interval_position + interval) % interval,
              [this, source] { Sync(source); });
}

void RolloutRun::Sync(std::size_t source) {
  Source& sender = sources_[source];
  sender.sync_scheduled = false;
  // Each report reaches every entry: directly, or in the answer to a later call of any sidecar.
  for (Entry& entry : entries_) {
    entry.evidence.Merge(sender.id, sender.counters);
    if (!entry.stopped && ShouldWithdraw(entry)) Withdraw(entry);
  }
}

bool RolloutRun::ShouldWithdraw(Entry& entry) const {
  if (settings_.rule == GuardRule::kFixedThreshold) return ExceedsThreshold(entry);
  return entry.guard.Observe(entry.evidence.total()).has_value();
}

bool RolloutRun::ExceedsThreshold(Entry& entry) const {
  const auto window = loop_.now().time_since_epoch() / kThresholdWindow;
  if (entry.window != window) {
    entry.window = window;
    entry.window_start = entry.evidence.total();
  }
  const std::uint64_t answers = entry.evidence.total().answers - entry.window_start.answers;
  const std::uint64_t errors = entry.evidence.total().errors - entry.window_start.errors;
  return answers >= kMinThresholdAnswers &&
         static_cast<double>(errors) > kErrorRateThreshold * static_cast<double>(answers);
}

void RolloutRun::Withdraw(Entry& entry) {
  entry.stopped = true;
  if (!result_.withdrawn_at) result_.withdrawn_at = loop_.now();
  for (Entry& other : entries_) {
    const Duration delay = FromSeconds(random_.Uniform() * ToSeconds(settings_.max_publish_delay));
    loop_.After(delay, [&other] { other.stopped = true; });
  }
}

std::size_t RolloutRun::CurrentStep() const {
  std::size_t step = 0;
  while (step + 1 < settings_.steps.size() && settings_.steps[step + 1].start <= loop_.now()) {
    ++step;
  }
  return step;
}

Duration RolloutRun::DrawExponential(Duration mean) {
  boost::random::exponential_distribution<> draw(1 / ToSeconds(mean));
  return FromSeconds(draw(random_));
}

}  // namespace bamboodock::experiment
