#include "bamboodock/command/router/rollout_desk.h"

#include <fmt/format.h>

#include <algorithm>

#include "bamboodock/policy/version_comparison.h"

namespace bamboodock {
namespace {

/// Part of the exposure bound that is used; entries that restart lose their counts.
constexpr double kUsedPart = 0.7;

std::string Describe(const EvidenceCounters& counters) {
  return fmt::format("answers={} errors={} slow={} streams={} slow_streams={}", counters.answers,
                     counters.errors, counters.slow, counters.streams, counters.slow_streams);
}

}  // namespace

void RolloutDesk::Order(const RolloutOrder& order) {
  const auto found = rollouts_.find(order.service);
  if (found != rollouts_.end() && found->second.order.revision >= order.revision) return;
  Rollout rollout;
  rollout.order = order;
  const auto known = progress_.find(order.service);
  if (known != progress_.end() && known->second.order_revision == order.revision) {
    rollout.progress = known->second;
  }
  rollouts_.insert_or_assign(order.service, std::move(rollout));
}

void RolloutDesk::Cancel(const ServiceId& service) {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return;
  // A finished rollout still tells which version is in force.
  const auto& progress = found->second.progress;
  if (progress && progress->state != RolloutState::kRunning) return;
  rollouts_.erase(found);
}

void RolloutDesk::Apply(const RolloutProgress& progress) {
  progress_.insert_or_assign(progress.service, progress);
  const auto found = rollouts_.find(progress.service);
  if (found == rollouts_.end()) return;
  Rollout& rollout = found->second;
  if (rollout.order.revision == progress.order_revision) rollout.progress = progress;
}

void RolloutDesk::Apply(const IncarnationId& entry, const RolloutEvidence& evidence) {
  const auto found = rollouts_.find(evidence.service);
  if (found == rollouts_.end()) return;
  Rollout& rollout = found->second;
  if (rollout.order.revision != evidence.order_revision) return;
  RolloutEvidence& held = rollout.others[entry];
  const EvidenceCounters newest = EvidenceCounters::Newer(held.answers, evidence.answers);
  const EvidenceCounters newest_old =
      EvidenceCounters::Newer(held.old_answers, evidence.old_answers);
  held = evidence;
  held.answers = newest;
  held.old_answers = newest_old;
}

void RolloutDesk::Forget(const IncarnationId& entry) {
  for (auto& [service, rollout] : rollouts_) {
    const auto found = rollout.others.find(entry);
    if (found != rollout.others.end()) found->second.open_at_old = 0;
  }
}

std::optional<bool> RolloutDesk::PrefersTarget(const ServiceId& service, double draw,
                                               std::uint32_t entries) {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return std::nullopt;
  const Rollout& rollout = found->second;
  if (draw >= rollout.share) return false;
  if (!rollout.in_trial) return true;
  const double tolerated = static_cast<double>(limits_.tolerance) / std::max(entries, 1U);
  const double allowed =
      kUsedPart * (limits_.share.value() * static_cast<double>(rollout.requests) + tolerated);
  return static_cast<double>(rollout.exposed) + 1 <= allowed;
}

const RolloutOrder* RolloutDesk::Find(const ServiceId& service) const {
  const auto found = rollouts_.find(service);
  return found == rollouts_.end() ? nullptr : &found->second.order;
}

bool RolloutDesk::IsTargetExcluded(const ServiceId& service) const {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return false;
  const Rollout& rollout = found->second;
  if (rollout.progress && rollout.progress->state == RolloutState::kCompleted) return false;
  return rollout.bad || !rollout.progress || rollout.progress->state == RolloutState::kRolledBack;
}

bool RolloutDesk::IsTargetOnly(const ServiceId& service) const {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return false;
  const auto& progress = found->second.progress;
  return progress && progress->state == RolloutState::kCompleted;
}

bool RolloutDesk::InTrial(const ServiceId& service) const {
  const auto found = rollouts_.find(service);
  return found != rollouts_.end() && found->second.in_trial;
}

void RolloutDesk::HoldBack(const ServiceId& service, SessionHash session, MonotonicTime until) {
  const auto found = rollouts_.find(service);
  if (found != rollouts_.end()) found->second.held_back.insert_or_assign(session, until);
}

bool RolloutDesk::IsHeldBack(const ServiceId& service, SessionHash session,
                             MonotonicTime now) const {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return false;
  const auto held = found->second.held_back.find(session);
  return held != found->second.held_back.end() && now <= held->second;
}

void RolloutDesk::OnSend(const ServiceId& service, bool to_target) {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return;
  ++found->second.requests;
  if (to_target) ++found->second.exposed;
}

void RolloutDesk::OnReport(const AttemptReport& report, const UsualTimes::Verdict& times) {
  const auto found = rollouts_.find(report.service);
  if (found == rollouts_.end()) return;
  Rollout& rollout = found->second;
  EvidenceCounters& own = rollout.order.target == report.version ? rollout.own : rollout.own_old;
  const bool failed =
      report.outcome == AttemptOutcome::kFailure || report.outcome == AttemptOutcome::kBroken;
  const bool silent = report.outcome == AttemptOutcome::kSilent;
  const bool dropped = report.outcome == AttemptOutcome::kCancelled && !report.head_latency;
  const bool judged = report.outcome == AttemptOutcome::kSuccess ||
                      report.outcome == AttemptOutcome::kCancelled || failed || silent;
  if (!judged || dropped) return;
  ++own.answers;
  if (failed) ++own.errors;
  if (times.late_head || silent) ++own.slow;
  if (report.event_interval) ++own.streams;
  if (times.slow_events) ++own.slow_streams;
}

std::vector<RolloutEvidence> RolloutDesk::Evidence() const {
  std::vector<RolloutEvidence> evidence;
  for (const auto& [service, rollout] : rollouts_) {
    evidence.push_back({service, rollout.order.revision, rollout.own, rollout.own_old, 0, {}});
  }
  return evidence;
}

RolloutSituation RolloutDesk::Situation(const Rollout& rollout, std::chrono::milliseconds store_now,
                                        std::uint64_t own_open) const {
  RolloutSituation situation;
  situation.state = rollout.progress->state;
  const std::chrono::duration<double> passed = store_now - rollout.progress->started;
  situation.progress = passed / std::chrono::duration<double>(rollout.order.time_limit);
  situation.bad = rollout.bad;
  situation.answers = rollout.own.answers;
  situation.requests = rollout.own.answers + rollout.own_old.answers;
  situation.open_at_old = own_open;
  for (const auto& [entry, evidence] : rollout.others) {
    situation.answers += evidence.answers.answers;
    situation.requests += evidence.answers.answers + evidence.old_answers.answers;
    situation.open_at_old += evidence.open_at_old;
  }
  return situation;
}

void RolloutDesk::SetShare(Rollout& rollout, const RolloutSchedule& schedule,
                           const RolloutSituation& situation) {
  // Traffic that has begun to move is not moved back because the expected requests change.
  const double planned = NewVersionShare(schedule, situation).value();
  const double share = planned == 0 ? 0 : std::max(planned, rollout.share);
  rollout.in_trial = share <= schedule.trial_share.value();
  rollout.share = share;
}

RolloutProgress RolloutDesk::FirstProgress(const Rollout& rollout, std::chrono::milliseconds now) {
  RolloutProgress progress;
  progress.service = rollout.order.service;
  progress.target = rollout.order.target;
  progress.order_revision = rollout.order.revision;
  progress.started = now;
  return progress;
}

RolloutDesk::Answers RolloutDesk::AllAnswers(const Rollout& rollout) {
  Answers answers{rollout.own, rollout.own_old};
  for (const auto& [entry, evidence] : rollout.others) {
    answers.target += evidence.answers;
    answers.old += evidence.old_answers;
  }
  return answers;
}

void RolloutDesk::Judge(Rollout& rollout, const Answers& answers) {
  if (rollout.bad || !IsWorseVersion(answers.target, answers.old)) return;
  rollout.bad = true;
  log_.Write(
      Event::kRolloutJudgedBad, RequestId(),
      fmt::format("service={} target={} new=({}) old=({})", rollout.order.service.value(),
                  rollout.order.target.value(), Describe(answers.target), Describe(answers.old)));
}

RolloutState RolloutDesk::Advance(Rollout& rollout, std::chrono::milliseconds store_now,
                                  std::uint64_t own_open) {
  const Answers answers = AllAnswers(rollout);
  Judge(rollout, answers);
  const RolloutSituation situation = Situation(rollout, store_now, own_open);
  const RolloutSchedule schedule = PlanPhases(limits_, situation);
  const double before = rollout.share;
  SetShare(rollout, schedule, situation);
  if (rollout.share != before) {
    log_.Write(Event::kRolloutShareChanged, RequestId(),
               fmt::format("service={} target={} share={:.2f} progress={:.2f} open_at_old={} "
                           "new=({}) old=({})",
                           rollout.order.service.value(), rollout.order.target.value(),
                           rollout.share, situation.progress, situation.open_at_old,
                           Describe(answers.target), Describe(answers.old)));
  }
  return NextState(schedule, situation);
}

std::vector<RolloutProgress> RolloutDesk::Tick(
    std::chrono::milliseconds store_now, const std::map<ServiceId, std::uint64_t>& open_at_old) {
  std::vector<RolloutProgress> writes;
  for (auto& [service, rollout] : rollouts_) {
    if (!rollout.progress) {
      RolloutProgress first = FirstProgress(rollout, store_now);
      const auto known = progress_.find(service);
      if (known != progress_.end()) first.revision = known->second.revision;
      writes.push_back(first);
      continue;
    }
    if (rollout.progress->state == RolloutState::kCompleted) {
      rollout.share = 1;
      rollout.in_trial = false;
      continue;
    }
    const auto open = open_at_old.find(service);
    const RolloutState next =
        Advance(rollout, store_now, open == open_at_old.end() ? 0 : open->second);
    if (next == rollout.progress->state) continue;
    RolloutProgress changed = *rollout.progress;
    changed.state = next;
    writes.push_back(changed);
  }
  return writes;
}

}  // namespace bamboodock
