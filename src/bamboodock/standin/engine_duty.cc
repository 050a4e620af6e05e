#include "bamboodock/standin/engine_duty.h"

#include <algorithm>
#include <utility>

namespace bamboodock::standin {
namespace {

constexpr std::size_t kQueueCapacity = 1024;
constexpr std::size_t kMaxCacheEvents = 512;
constexpr std::size_t kMaxOrders = 256;
/// Time from a cache change until its event becomes visible to readers.
constexpr std::chrono::milliseconds kCacheEventDelay{300};
/// Every n-th cache event is never reported, which leaves a gap in the sequence numbers.
constexpr std::uint64_t kDroppedEventInterval = 7;
/// Share of the time to first token that a fully cached prompt saves.
constexpr double kCachedPromptSaving = 0.8;
/// Interval between attempts to push into the full event ring of a slow reader.
constexpr std::chrono::milliseconds kReaderRetryInterval{20};

Duration Scaled(Duration time, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

Concurrency ToConcurrency(std::size_t size) {
  return Concurrency(static_cast<std::uint32_t>(size));
}

}  // namespace

EngineDuty::EngineDuty(EngineSettings settings, const Clock& clock)
    : settings_(std::move(settings)), clock_(clock), cache_(settings_.cached_prefixes()) {
  for (const ServedVersion& version : settings_.versions()) state_.loaded.insert(version.id);
  state_cell_.Store(MakeRef<EngineState>(state_));
  events_cell_.Store(MakeRef<CacheEvents>());
  PublishCounters();
  load_cell_.Store(MakeRef<LoadReport>());
  Start();
}

void EngineDuty::Shutdown() {
  Stop();
  for (const Running& running : running_) running.generation->events.Close();
  for (const Ref<Generation>& generation : queue_) generation->events.Close();
}

void EngineDuty::Handle(EngineCommand& command) {
  std::visit([this](auto& typed_command) { On(typed_command); }, command);
  FillBatch();
  PublishCounters();
}

MonotonicTime EngineDuty::Tick() {
  const MonotonicTime now = clock_.Now();
  const auto complete = std::remove_if(running_.begin(), running_.end(), [&](Running& running) {
    return EmitDueTokens(running, now);
  });
  if (complete != running_.end()) {
    running_.erase(complete, running_.end());
    FillBatch();
  }
  PublishCounters();
  if (now >= next_load_report_) {
    const Ref<LoadReport> report = MakeRef<LoadReport>();
    report->running = ToConcurrency(running_.size());
    report->queued = ToConcurrency(queue_.size());
    report->warm = warm();
    report->taken_at = now;
    load_cell_.Store(report);
    next_load_report_ =
        now + std::max<Duration>(settings_.load_lag(), std::chrono::milliseconds(10));
  }
  return NextDue();
}

MonotonicTime EngineDuty::NextDue() const {
  MonotonicTime next = next_load_report_;
  for (const Running& running : running_) next = std::min(next, running.next_token);
  return next;
}

void EngineDuty::On(StartGeneration& command) {
  Generation& generation = *command.generation;
  const Concurrency open = ToConcurrency(running_.size() + queue_.size() + 1);
  if (!state_.loaded.contains(generation.version)) {
    generation.events.TryPush(GenerationEvent::kNotLoaded);
  } else if (!warm() && open > settings_.cold_limit()) {
    counters_.max_running_cold = std::max(counters_.max_running_cold, open);
    ++counters_.cold_overloads;
    generation.events.TryPush(GenerationEvent::kColdOverload);
  } else if (queue_.size() >= kQueueCapacity) {
    generation.events.TryPush(GenerationEvent::kQueueFull);
  } else {
    // Lower numbers run first; equal priorities run in order of arrival.
    const auto position = std::upper_bound(
        queue_.begin(), queue_.end(), generation.priority,
        [](int priority, const Ref<Generation>& other) { return priority < other->priority; });
    queue_.insert(position, command.generation);
  }
}

void EngineDuty::On(CancelGeneration& command) {
  const auto is_cancelled = [&](const Ref<Generation>& other) {
    return other == command.generation;
  };
  const std::size_t cancelled =
      std::erase_if(running_,
                    [&](const Running& running) { return is_cancelled(running.generation); }) +
      std::erase_if(queue_, is_cancelled);
  counters_.cancelled += cancelled;
}

void EngineDuty::On(TurnCold& /*command*/) { served_ = 0; }

void EngineDuty::On(ApplyOrder& command) {
  EngineOrder& order = command.order;
  if (settings_.check_fencing() && order.fencing < state_.highest) {
    command.reply->TryPush({false, state_.highest});
    return;
  }
  state_.highest = std::max(state_.highest, order.fencing);
  if (order.action == "load") state_.loaded.insert(order.version);
  if (order.action == "unload") state_.loaded.erase(order.version);
  state_.orders.push_back(order);
  if (state_.orders.size() > kMaxOrders) state_.orders.pop_front();
  state_cell_.Store(MakeRef<EngineState>(state_));
  command.reply->TryPush({true, state_.highest});
}

void EngineDuty::FillBatch() {
  while (!queue_.empty() && running_.size() < settings_.batch().value()) {
    const Ref<Generation> next = std::move(queue_.front());
    queue_.pop_front();
    StartRunning(next);
  }
}

void EngineDuty::StartRunning(const Ref<Generation>& generation) {
  ++counters_.started;
  running_.push_back({generation, clock_.Now() + FirstTokenTime(*generation), Tokens()});
  const Concurrency count = ToConcurrency(running_.size());
  counters_.max_running = std::max(counters_.max_running, count);
  if (!warm()) counters_.max_running_cold = std::max(counters_.max_running_cold, count);
  for (const PromptPrefix& prefix : generation->prefixes) {
    const bool was_cached = cache_.Contains(prefix.hash);
    const auto evicted = cache_.Use(prefix.hash);
    if (!was_cached) RecordCacheEvent(true, prefix.hash);
    if (evicted) RecordCacheEvent(false, *evicted);
  }
  events_cell_.Store(MakeRef<CacheEvents>(events_));
}

bool EngineDuty::EmitDueTokens(Running& running, MonotonicTime now) {
  Generation& generation = *running.generation;
  while (running.next_token <= now) {
    const bool done = running.sent >= generation.length;
    if (!generation.events.TryPush(done ? GenerationEvent::kDone : GenerationEvent::kToken)) {
      running.next_token = now + kReaderRetryInterval;
      return false;
    }
    if (done) {
      ++served_;
      ++counters_.finished;
      return true;
    }
    running.sent = running.sent.Next();
    counters_.tokens += Tokens(1);
    // `kDone` follows the last token without delay.
    if (running.sent < generation.length) running.next_token += TokenTime(generation);
  }
  return false;
}

Duration EngineDuty::FirstTokenTime(const Generation& generation) {
  double cached_share = 0.0;
  for (const PromptPrefix& prefix : generation.prefixes) {
    if (cache_.Contains(prefix.hash)) cached_share = std::max(cached_share, prefix.share.value());
  }
  if (cached_share > 0.0) ++counters_.prefix_hits;
  return ScaleIfCold(
      Scaled(settings_.first_token_time(), 1.0 - (kCachedPromptSaving * cached_share)));
}

Duration EngineDuty::TokenTime(const Generation& generation) const {
  const ServedVersion* version = settings_.Find(generation.version);
  const bool has_token_time = version != nullptr && version->token_time > Duration::zero();
  return ScaleIfCold(has_token_time ? version->token_time : settings_.token_time());
}

Duration EngineDuty::ScaleIfCold(Duration time) const {
  return warm() ? time : Scaled(time, settings_.cold_factor());
}

void EngineDuty::RecordCacheEvent(bool stored, PrefixHash prefix) {
  cache_sequence_ = cache_sequence_.Next();
  if (cache_sequence_.value() % kDroppedEventInterval == 0) return;
  events_.events.push_back({cache_sequence_, stored, prefix, clock_.Now() + kCacheEventDelay});
  if (events_.events.size() > kMaxCacheEvents) events_.events.pop_front();
}

void EngineDuty::PublishCounters() { counters_cell_.Store(MakeRef<EngineCounters>(counters_)); }

}  // namespace bamboodock::standin
