#include "bamboodock/command/router/waiting_plans.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace bamboodock {
namespace {

/// Interval at which a queue for something that is missing is tried again, since the rate limit of
/// cold endpoints leaves room without any event.
constexpr std::chrono::milliseconds kMissingInterval{50};
/// The same for a full service, as a multiple of the time in which a slot becomes free. Above 1, so
/// that the requests that are sent to full endpoints are fewer than the slots that become free.
constexpr double kRetryFactor = 2;
constexpr std::chrono::milliseconds kMinRetryInterval{100};
constexpr std::chrono::milliseconds kMaxRetryInterval{1000};
/// The same while the drain rate is not known.
constexpr std::chrono::milliseconds kDefaultRetryInterval{250};
/// Requests of a queue that are tried in vain at most before the others have to wait. More than
/// one, since a request may be bound to a version whose endpoints are full.
constexpr std::size_t kMaxFailedWakes = 2;

std::chrono::milliseconds Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace

std::string_view Name(WaitCause cause) { return cause == WaitCause::kFull ? "full" : "missing"; }

ReturnSchedule::Caller WaitingPlans::CallerOf(const PlanQuery& query, const WaitTerms& terms) {
  const RequestMetadata& metadata = query.request->metadata;
  const SessionId session =
      metadata.session.empty() ? SessionId(metadata.attempt.value()) : metadata.session;
  return {terms.account, session};
}

ServiceCondition WaitingPlans::ConditionOf(const Line& line, const WaitTerms& terms,
                                           MonotonicTime now) {
  return {false, line.queue.Ahead(terms.priority, terms.account), line.returns.Expected(now),
          line.drain.Rate(now)};
}

Failure WaitingPlans::Refuse(Line& line, const PlanQuery& query, const WaitTerms& terms,
                             AdmissionRefusal reason, MonotonicTime now) {
  const bool hopeless = reason == AdmissionRefusal::kHopeless;
  ++(hopeless ? refused_hopeless_ : refused_queue_full_);
  const ServiceCondition condition = ConditionOf(line, terms, now);
  const Duration after = Admission::RetryAfter(condition, terms.times.left, random_);
  const Duration told = line.returns.Tell(CallerOf(query, terms), after, now);
  std::string detail = fmt::format(
      "service={} is full: {} ahead={} returning={} drain_per_s={:.1f} left_ms={} run_ms={}",
      terms.service.value(), hopeless ? "no slot in time" : "no place in the queue",
      condition.ahead, condition.returning, condition.drain.value_or(RequestRate(-1)).value(),
      ToMillis(terms.times.left), ToMillis(terms.times.run));
  return {ResultCode::kOverloaded, std::move(detail), RunState::kNotRun,
          std::max(Millis(told), Millis(Admission::kMinRetryAfter))};
}

std::optional<Failure> WaitingPlans::Enter(const PlanQuery& query, const WaitTerms& terms,
                                           MonotonicTime now) {
  Line& line = lines_[terms.service];
  // Ends of attempts tell the capacity of the service only while it is full.
  const bool measured_lately = now - line.emptied_at < DrainRate::kSmoothing;
  if (line.queue.empty() && !measured_lately) line.drain = DrainRate();
  const ServiceCondition condition = ConditionOf(line, terms, now);
  AdmissionDecision decision{AdmissionVerdict::kWait, AdmissionRefusal::kNone, std::nullopt};
  if (terms.cause == WaitCause::kFull) decision = Admission::Decide(condition, terms.times);
  if (decision.verdict == AdmissionVerdict::kRefuse) {
    return Refuse(line, query, terms, decision.reason, now);
  }
  const MonotonicTime refused = line.returns.Redeem(CallerOf(query, terms), now).value_or(now);
  last_id_ = last_id_.Next();
  const bool is_first = line.queue.empty();
  const auto displaced =
      line.queue.Push({last_id_, terms.priority, terms.account, query.request->metadata.session,
                       terms.work, refused, now + terms.longest});
  if (displaced && displaced->id == last_id_) {
    return Refuse(line, query, terms, AdmissionRefusal::kQueueFull, now);
  }
  waiters_.emplace(last_id_, Waiter{query, terms, now});
  by_receiver_.emplace(query.receiver.get(), last_id_);
  if (terms.cause == WaitCause::kFull) ++line.waiting_for_slot;
  if (displaced) {
    const Waiter& last = waiters_.at(displaced->id);
    PlanAnswer answer;
    answer.refusal = Refuse(line, last.query, last.terms, AdmissionRefusal::kQueueFull, now);
    Finish(Release(displaced->id, now), std::move(answer), now);
  }
  if (is_first) line.retry_at = now + RetryInterval(line, now);
  log_.Write(Event::kRequestWaits, RequestId(query.request->metadata.attempt.value()),
             fmt::format("reason={} service={} priority={} position={} waiting={} "
                         "expected_wait_ms={} longest_wait_ms={} refused_before_ms={}",
                         Name(terms.cause), terms.service.value(), terms.priority.value(),
                         condition.ahead, line.queue.size(),
                         decision.expected_wait ? ToMillis(*decision.expected_wait) : -1,
                         ToMillis(terms.longest), ToMillis(now - refused)));
  UpdateNextDue();
  return std::nullopt;
}

void WaitingPlans::Cancel(const PlanReceiver& receiver) {
  const auto found = by_receiver_.find(&receiver);
  if (found == by_receiver_.end()) return;
  const WaitingId id = found->second;
  Line& line = lines_[waiters_.at(id).terms.service];
  line.queue.Remove(id);
  Release(id, line.emptied_at);
  UpdateNextDue();
}

void WaitingPlans::OnFreed(const ServiceId& service, MonotonicTime now) {
  const auto line = lines_.find(service);
  if (line == lines_.end() || line->second.queue.empty()) return;
  line->second.drain.OnFreed(now);
  changed_ = true;
}

WaitingPlans::Waiter WaitingPlans::Release(WaitingId id, MonotonicTime now) {
  auto node = waiters_.extract(id);
  Waiter waiter = std::move(node.mapped());
  by_receiver_.erase(waiter.query.receiver.get());
  Line& line = lines_[waiter.terms.service];
  if (waiter.terms.cause == WaitCause::kFull) --line.waiting_for_slot;
  if (line.queue.empty()) line.emptied_at = now;
  return waiter;
}

void WaitingPlans::Finish(Waiter waiter, PlanAnswer answer, MonotonicTime now) {
  const ServiceId& service = waiter.terms.service;
  log_.Write(Event::kRequestWoken, RequestId(waiter.query.request->metadata.attempt.value()),
             fmt::format("result={} service={} waited_ms={} waiting={} why='{}'",
                         answer.plan ? "planned" : Name(answer.refusal.code), service.value(),
                         ToMillis(now - waiter.since), lines_[service].queue.size(),
                         answer.refusal.detail));
  woken_.push_back({std::move(waiter.query.receiver), std::move(answer)});
}

void WaitingPlans::Expire(Line& line, FirstPlanner& planner, MonotonicTime now) {
  for (const WaitingRequest& expired : line.queue.Expire(now)) {
    Waiter& waiter = waiters_.at(expired.id);
    PlanAnswer answer;
    if (waiter.terms.cause == WaitCause::kMissing) {
      answer = planner.Decide(waiter.query, HoldRule::kNever);
    } else {
      waiter.terms.times.left -= now - waiter.since;
      answer.refusal = Refuse(line, waiter.query, waiter.terms, AdmissionRefusal::kHopeless, now);
    }
    Finish(Release(expired.id, now), std::move(answer), now);
  }
}

void WaitingPlans::Wake(Line& line, FirstPlanner& planner, bool is_retry, MonotonicTime now) {
  std::vector<WaitingRequest> failed;
  bool woken = false;
  HoldRule hold = is_retry ? HoldRule::kNever : HoldRule::kIfFull;
  while (failed.size() < kMaxFailedWakes) {
    const std::optional<WaitingRequest> next = line.queue.Pop(now);
    if (!next) break;
    Waiter& waiter = waiters_.at(next->id);
    PlanAnswer answer = planner.Decide(waiter.query, hold);
    const std::optional<WaitTerms> terms = planner.TermsOfWaiting(waiter.query, answer);
    if (!terms) {
      if (answer.plan) hold = HoldRule::kIfFull;
      woken = true;
      Finish(Release(next->id, now), std::move(answer), now);
    } else if (terms->service == waiter.terms.service && terms->cause == waiter.terms.cause) {
      failed.push_back(*next);
    } else {
      Waiter moved = Release(next->id, now);
      const auto refusal = Enter(moved.query, *terms, now);
      if (!refusal) continue;
      answer.refusal = *refusal;
      Finish(std::move(moved), std::move(answer), now);
    }
  }
  for (auto request = failed.rbegin(); request != failed.rend(); ++request) {
    line.queue.Restore(std::move(*request));
  }
  if (woken || is_retry) line.retry_at = now + RetryInterval(line, now);
}

std::vector<PlannedAttempt> WaitingPlans::TakeWoken(FirstPlanner& planner, MonotonicTime now) {
  if (!changed_ && now < next_due_ && woken_.empty()) return {};
  const bool changed = std::exchange(changed_, false);
  for (auto& [service, line] : lines_) {
    if (line.queue.empty()) continue;
    Expire(line, planner, now);
    const bool is_retry = now >= line.retry_at;
    if (changed || is_retry) Wake(line, planner, is_retry, now);
  }
  UpdateNextDue();
  return std::exchange(woken_, {});
}

Duration WaitingPlans::RetryInterval(const Line& line, MonotonicTime now) {
  if (line.waiting_for_slot == 0) return kMissingInterval;
  const std::optional<RequestRate> drain = line.drain.Rate(now);
  if (!drain || drain->value() <= 0) return kDefaultRetryInterval;
  const std::chrono::duration<double> interval(kRetryFactor / drain->value());
  if (interval >= kMaxRetryInterval) return kMaxRetryInterval;
  return std::max<Duration>(std::chrono::duration_cast<Duration>(interval), kMinRetryInterval);
}

void WaitingPlans::UpdateNextDue() {
  next_due_ = MonotonicTime::max();
  for (const auto& [service, line] : lines_) {
    if (const auto expiry = line.queue.NextExpiry()) {
      next_due_ = std::min({next_due_, *expiry, line.retry_at});
    }
  }
}

bool WaitingPlans::HasWaitingForSlot(const ServiceId& service) const {
  const auto line = lines_.find(service);
  return line != lines_.end() && line->second.waiting_for_slot > 0;
}

WaitingStatus WaitingPlans::Status(MonotonicTime now) const {
  WaitingStatus status;
  status.requests = waiters_.size();
  status.refused_hopeless = refused_hopeless_;
  status.refused_queue_full = refused_queue_full_;
  for (const auto& [id, waiter] : waiters_) {
    const std::size_t series =
        std::min<std::size_t>(waiter.terms.priority.value(), status.oldest.size() - 1);
    status.oldest.at(series) = std::max(status.oldest.at(series), now - waiter.since);
  }
  return status;
}

void WaitingPlans::Clear() {
  lines_.clear();
  by_receiver_.clear();
  waiters_.clear();
  woken_.clear();
  next_due_ = MonotonicTime::max();
}

}  // namespace bamboodock
