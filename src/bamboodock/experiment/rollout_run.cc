#include "bamboodock/experiment/rollout_run.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <string>

#include "bamboodock/experiment/time.h"

namespace bamboodock::experiment {
namespace {

/// The fixed rule withdraws above this error rate, once a window has enough answers to tell. With
/// windows as long as a step it needed 1,444 s; with 50 answers, 10% of good versions were lost.
constexpr double kThreshold = 0.05;
constexpr std::uint64_t kThresholdAnswers = 200;
constexpr Duration kThresholdWindow = std::chrono::minutes(5);

}  // namespace

RolloutRun::RolloutRun(const RolloutSettings& settings, std::uint64_t seed)
    : settings_(settings), random_(seed), sources_(settings.sources), entries_(settings.entries) {
  for (std::size_t i = 0; i < sources_.size(); ++i) {
    sources_[i].id = IncarnationId("sidecar-" + std::to_string(i));
    sources_[i].phase = FromSeconds(random_.Uniform() * ToSeconds(settings_.sync_interval));
  }
}

RolloutResult RolloutRun::Run() {
  Arrive();
  loop_.RunUntil(settings_.end);
  return result_;
}

void RolloutRun::Arrive() {
  const Duration gap = FromSeconds(1 / settings_.rate.value());
  loop_.After(Exponential(gap), [this] { Arrive(); });
  if (!Draw(settings_.steps[Step()].share)) return;
  if (entries_[random_.Below(entries_.size())].stopped) return;
  const bool turned = loop_.now() >= settings_.bad_from;
  const bool error = Draw(turned ? settings_.bad_errors : settings_.normal_errors);
  const bool bad = Draw(turned ? settings_.bad_bad_answers : settings_.normal_bad_answers);
  const std::size_t source = random_.Below(sources_.size());
  loop_.After(Exponential(settings_.answer_time), [=, this] { Answer(source, error, bad); });
}

void RolloutRun::Answer(std::size_t source, bool error, bool bad) {
  ++result_.answers;
  if (loop_.now() >= settings_.bad_from && (error || bad)) ++result_.bad_answers;
  EvidenceCounters& counters = sources_[source].counters;
  ++counters.answers;
  if (error) ++counters.errors;
  PlanSync(source);
  if (error || !Draw(settings_.rated)) return;
  loop_.After(Exponential(settings_.rating_delay), [=, this] { Rate(source, bad); });
}

void RolloutRun::Rate(std::size_t source, bool bad) {
  EvidenceCounters& counters = sources_[source].counters;
  ++counters.ratings;
  if (bad) ++counters.bad_ratings;
  PlanSync(source);
}

void RolloutRun::PlanSync(std::size_t source) {
  Source& from = sources_[source];
  if (from.sync_planned) return;
  from.sync_planned = true;
  const Duration interval = settings_.sync_interval;
  const Duration in_interval = loop_.now().time_since_epoch() % interval;
  loop_.After((from.phase - in_interval + interval) % interval, [this, source] { Sync(source); });
}

void RolloutRun::Sync(std::size_t source) {
  Source& from = sources_[source];
  from.sync_planned = false;
  // Every entry gets each report: directly, or with the answer to a later call of any sidecar.
  for (Entry& entry : entries_) {
    entry.evidence.Merge(from.id, from.counters);
    if (!entry.stopped && CallsForWithdrawal(entry)) Withdraw(entry);
  }
}

bool RolloutRun::CallsForWithdrawal(Entry& entry) const {
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
  return answers >= kThresholdAnswers &&
         static_cast<double>(errors) > kThreshold * static_cast<double>(answers);
}

void RolloutRun::Withdraw(Entry& entry) {
  entry.stopped = true;
  if (!result_.withdrawn) result_.withdrawn = loop_.now();
  for (Entry& other : entries_) {
    const Duration delay = FromSeconds(random_.Uniform() * ToSeconds(settings_.publish_time));
    loop_.After(delay, [&other] { other.stopped = true; });
  }
}

std::size_t RolloutRun::Step() const {
  std::size_t step = 0;
  while (step + 1 < settings_.steps.size() && settings_.steps[step + 1].start <= loop_.now()) {
    ++step;
  }
  return step;
}

Duration RolloutRun::Exponential(Duration mean) {
  boost::random::exponential_distribution<> draw(1 / ToSeconds(mean));
  return FromSeconds(draw(random_));
}

}  // namespace bamboodock::experiment
