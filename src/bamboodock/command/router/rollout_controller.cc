#include "bamboodock/command/router/rollout_controller.h"

#include <fmt/format.h>

#include <algorithm>

#include "bamboodock/policy/version_comparison.h"

namespace bamboodock {
namespace {

/// Fraction of the exposure bound that is used. The rest covers entries that lose their counts in a
/// restart.
constexpr double kUsableExposureFraction = 0.7;

std::string Describe(const EvidenceCounters& counters) {
  return fmt::format(
      "answers={} errors={} slow={} silent={} streams={} slow_streams={} paced={} "
      "above_quartile={}",
      counters.answers, counters.errors, counters.slow, counters.silent, counters.streams,
      counters.slow_streams, counters.paced, counters.above_quartile);
}

}  // namespace

RolloutController::Rollout* RolloutController::FindSame(const RolloutOrder& order) {
  auto found = rollouts_.find(order.service);
  if (found == rollouts_.end()) {
    auto cancelled = cancelled_.extract(order.service);
    if (cancelled.empty()) return nullptr;
    if (cancelled.mapped().known.Judge(order) != RolloutOrderVerdict::kSame) return nullptr;
    found = rollouts_.insert(std::move(cancelled)).position;
  }
  const bool is_same = found->second.known.Judge(order) == RolloutOrderVerdict::kSame;
  return is_same ? &found->second : nullptr;
}

void RolloutController::Begin(const RolloutOrder& order) {
  Rollout rollout{KnownRolloutOrder(order)};
  const auto row = rows_.Find(order.service);
  if (row && row->order_revision == order.revision) Adopt(rollout, *row);
  const auto previous = rollouts_.find(order.service);
  if (previous != rollouts_.end()) RememberVerdict(previous->second);
  rollouts_.insert_or_assign(order.service, std::move(rollout));
}

void RolloutController::MergeVerdict(const ServiceId& service, const VersionVerdict& verdict) {
  if (!verdicts_[service].Merge(verdict)) return;
  log_.Write(Event::kVersionVerdict, RequestId(),
             fmt::format("service={} version={} standing={} order_era={} order={}", service.value(),
                         verdict.version.value(), Name(verdict.standing), verdict.order.era.value(),
                         verdict.order.number));
}

void RolloutController::RememberVerdict(const Rollout& rollout) {
  const RolloutOrder& order = rollout.order();
  VersionStanding standing = VersionStanding::kUndecided;
  if (PhaseOf(rollout) == RolloutPhase::kCompleted) standing = VersionStanding::kAccepted;
  if (PhaseOf(rollout) == RolloutPhase::kRejected) standing = VersionStanding::kRejected;
  MergeVerdict(order.service, {order.target, order.revision, standing});
}

void RolloutController::SetBaseline(const ServiceId& service, const VersionId& version) {
  if (rollouts_.contains(service) || Verdicts(service).HasAccepted()) return;
  MergeVerdict(service, {version, {}, VersionStanding::kAccepted});
}

void RolloutController::ApplyOrder(const RolloutOrder& order) {
  const auto found = rollouts_.find(order.service);
  if (found != rollouts_.end() && found->second.known.Judge(order) == RolloutOrderVerdict::kKnown) {
    return;
  }
  Rollout* const same = FindSame(order);
  if (same == nullptr) {
    Begin(order);
    return;
  }
  same->known.OnReadAgain(order.revision);
  if (const auto row = rows_.Find(order.service)) Adopt(*same, *row);
}

void RolloutController::Cancel(const ServiceId& service) {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return;
  found->second.known.Cancel();
  // A finished rollout still defines the active version.
  const auto& progress = found->second.progress;
  if (progress && progress->state != RolloutState::kRunning) return;
  RememberVerdict(found->second);
  cancelled_.insert_or_assign(service, std::move(found->second));
  rollouts_.erase(found);
}

void RolloutController::Adopt(Rollout& rollout, const RolloutProgress& progress) {
  if (!rollout.known.IsOrderOf(progress)) return;
  if (rollout.progress && IsFurther(*rollout.progress, progress)) return;
  rollout.progress = progress;
}

void RolloutController::Apply(const RolloutProgress& progress) {
  rows_.Set(progress);
  for (const VersionVerdict& verdict : VerdictsOf(progress).List()) {
    MergeVerdict(progress.service, verdict);
  }
  const auto found = rollouts_.find(progress.service);
  if (found != rollouts_.end()) Adopt(found->second, progress);
}

void RolloutController::Apply(const IncarnationId& entry, const RolloutEvidence& evidence) {
  const auto found = rollouts_.find(evidence.service);
  if (found == rollouts_.end()) return;
  Rollout& rollout = found->second;
  if (!rollout.known.IsNamedBy(evidence.order_revision)) return;
  RolloutEvidence& stored = rollout.peer_evidence[entry];
  const EvidenceCounters newest = EvidenceCounters::Newer(stored.answers, evidence.answers);
  const EvidenceCounters newest_old =
      EvidenceCounters::Newer(stored.old_answers, evidence.old_answers);
  stored = evidence;
  stored.answers = newest;
  stored.old_answers = newest_old;
}

void RolloutController::OnEntryEnded(const IncarnationId& entry) {
  for (auto* rollouts : {&rollouts_, &cancelled_}) {
    for (auto& [service, rollout] : *rollouts) {
      const auto found = rollout.peer_evidence.find(entry);
      if (found != rollout.peer_evidence.end()) found->second.open_at_old = 0;
    }
  }
}

std::optional<bool> RolloutController::PrefersTarget(const ServiceId& service, double sample,
                                                     std::uint32_t entries) {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return std::nullopt;
  const Rollout& rollout = found->second;
  if (sample >= rollout.share) return false;
  if (!rollout.in_trial) return true;
  const double tolerated = limits_.tolerance / std::max(entries, 1U);
  const double allowed =
      kUsableExposureFraction *
      (limits_.share.value() * static_cast<double>(rollout.requests) + tolerated);
  return static_cast<double>(rollout.target_requests) + 1 <= allowed;
}

const RolloutOrder* RolloutController::Find(const ServiceId& service) const {
  const auto found = rollouts_.find(service);
  return found == rollouts_.end() ? nullptr : &found->second.order();
}

std::vector<VersionVerdict> RolloutController::VerdictsFor(const RolloutProgress& progress) const {
  std::vector<VersionVerdict> verdicts = Verdicts(progress.service).List();
  // The state of the row says the same.
  std::erase_if(verdicts, [&](const VersionVerdict& verdict) {
    return verdict.version == progress.target && IsImplied(verdict);
  });
  return verdicts;
}

RolloutPhase RolloutController::PhaseOf(const Rollout& rollout) {
  const auto& progress = rollout.progress;
  if (progress && progress->state == RolloutState::kCompleted) return RolloutPhase::kCompleted;
  const bool rolled_back = progress && progress->state == RolloutState::kRolledBack;
  if (rollout.bad || rolled_back) return RolloutPhase::kRejected;
  if (!progress) return RolloutPhase::kOrdered;
  return rollout.in_trial ? RolloutPhase::kTrial : RolloutPhase::kMoving;
}

RolloutPhase RolloutController::Phase(const ServiceId& service) const {
  const auto found = rollouts_.find(service);
  return found == rollouts_.end() ? RolloutPhase::kOrdered : PhaseOf(found->second);
}

const VersionVerdicts& RolloutController::Verdicts(const ServiceId& service) const {
  static const VersionVerdicts kNone;
  const auto found = verdicts_.find(service);
  return found == verdicts_.end() ? kNone : found->second;
}

bool RolloutController::IsReference(const ServiceId& service, const VersionId& version) const {
  const auto found = rollouts_.find(service);
  if (found != rollouts_.end() && found->second.order().target == version) {
    return PhaseOf(found->second) == RolloutPhase::kCompleted;
  }
  const auto standing = Verdicts(service).StandingOf(version);
  return !standing || *standing == VersionStanding::kAccepted;
}

void RolloutController::ForgetAbsentVersions(const VersionsOfService& present, MonotonicTime now) {
  for (auto& [service, verdicts] : verdicts_) verdicts.ForgetAbsent(present(service), now);
}

bool RolloutController::IsTargetExcluded(const ServiceId& service) const {
  if (!rollouts_.contains(service)) return false;
  const RolloutPhase phase = Phase(service);
  return phase == RolloutPhase::kOrdered || phase == RolloutPhase::kRejected;
}

bool RolloutController::IsTargetOnly(const ServiceId& service) const {
  return Phase(service) == RolloutPhase::kCompleted;
}

bool RolloutController::InTrial(const ServiceId& service) const {
  const auto found = rollouts_.find(service);
  return found != rollouts_.end() && found->second.in_trial;
}

void RolloutController::HoldBack(const ServiceId& service, SessionHash session,
                                 MonotonicTime until) {
  const auto found = rollouts_.find(service);
  if (found != rollouts_.end()) found->second.held_back.insert_or_assign(session, until);
}

bool RolloutController::IsHeldBack(const ServiceId& service, SessionHash session,
                                   MonotonicTime now) const {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return false;
  const auto held = found->second.held_back.find(session);
  return held != found->second.held_back.end() && now <= held->second;
}

void RolloutController::OnSend(const ServiceId& service, bool to_target) {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return;
  ++found->second.requests;
  if (to_target) ++found->second.target_requests;
}

EvidenceCounters* RolloutController::CountersOf(const AttemptReport& report) {
  const auto found = rollouts_.find(report.service);
  if (found == rollouts_.end()) return nullptr;
  Rollout& rollout = found->second;
  if (rollout.order().target == report.version) return &rollout.own_target;
  return IsReference(report.service, report.version) ? &rollout.own_old : nullptr;
}

void RolloutController::OnUnderWay(const AttemptReport& report,
                                   const LatencyBaseline::Verdict& latency) {
  EvidenceCounters* const counters = CountersOf(report);
  if (counters == nullptr) return;
  ++counters->answers;
  ++counters->streams;
  ++counters->paced;
  if (latency.above_quartile) ++counters->above_quartile;
  if (latency.late_head) ++counters->slow;
  if (latency.slow_early_events) ++counters->slow_streams;
}

void RolloutController::OnReport(const AttemptReport& report,
                                 const LatencyBaseline::Verdict& latency) {
  EvidenceCounters* const found = CountersOf(report);
  if (found == nullptr) return;
  EvidenceCounters& counters = *found;
  const bool failed =
      report.outcome == AttemptOutcome::kFailure || report.outcome == AttemptOutcome::kBroken;
  const bool silent = report.outcome == AttemptOutcome::kSilent;
  const bool dropped = report.outcome == AttemptOutcome::kCancelled && !report.head_latency;
  const bool judged = report.outcome == AttemptOutcome::kSuccess ||
                      report.outcome == AttemptOutcome::kCancelled || failed || silent;
  if (!judged || dropped) return;
  if (failed) ++counters.errors;
  if (silent) ++counters.silent;
  if (report.early_event_interval) {
    if (silent && !latency.late_head) ++counters.slow;
    if (latency.slow_events && !latency.slow_early_events) ++counters.slow_streams;
    return;
  }
  ++counters.answers;
  if (latency.late_head || silent) ++counters.slow;
  if (report.event_interval) ++counters.streams;
  if (latency.slow_events) ++counters.slow_streams;
}

std::vector<RolloutEvidence> RolloutController::Evidence() const {
  std::vector<RolloutEvidence> evidence;
  for (const auto& [service, rollout] : rollouts_) {
    evidence.push_back(
        {service, rollout.order().revision, rollout.own_target, rollout.own_old, 0, {}});
  }
  return evidence;
}

RolloutSnapshot RolloutController::MakeSnapshot(const Rollout& rollout,
                                                std::chrono::milliseconds store_now,
                                                std::uint64_t own_open) const {
  RolloutSnapshot snapshot;
  snapshot.state = rollout.progress->state;
  const std::chrono::duration<double> passed = store_now - rollout.progress->started;
  snapshot.time_limit = rollout.order().time_limit;
  snapshot.progress = passed / std::chrono::duration<double>(rollout.order().time_limit);
  snapshot.bad = rollout.bad;
  snapshot.answers = rollout.own_target.answers;
  snapshot.requests = rollout.own_target.answers + rollout.own_old.answers;
  snapshot.open_at_old = own_open;
  for (const auto& [entry, evidence] : rollout.peer_evidence) {
    snapshot.answers += evidence.answers.answers;
    snapshot.requests += evidence.answers.answers + evidence.old_answers.answers;
    snapshot.open_at_old += evidence.open_at_old;
  }
  return snapshot;
}

void RolloutController::SetShare(Rollout& rollout, const RolloutSchedule& schedule,
                                 const RolloutSnapshot& snapshot) {
  // Except for a reset to 0 the share never decreases, so that a change in the expected number of
  // requests does not move traffic back.
  const double planned = NewVersionShare(schedule, snapshot).value();
  const double share = planned == 0 ? 0 : std::max(planned, rollout.share);
  rollout.in_trial = share <= schedule.trial_share.value();
  rollout.share = share;
}

RolloutProgress RolloutController::InitialProgress(const Rollout& rollout,
                                                   std::chrono::milliseconds now) const {
  RolloutProgress progress;
  progress.service = rollout.order().service;
  progress.target = rollout.order().target;
  progress.order_revision = rollout.order().revision;
  progress.started = now;
  progress.verdicts = VerdictsFor(progress);
  return progress;
}

RolloutController::EvidenceTotals RolloutController::SumEvidence(const Rollout& rollout) {
  EvidenceTotals totals{rollout.own_target, rollout.own_old};
  for (const auto& [entry, evidence] : rollout.peer_evidence) {
    totals.target += evidence.answers;
    totals.old += evidence.old_answers;
  }
  return totals;
}

void RolloutController::JudgeTarget(Rollout& rollout, const EvidenceTotals& totals) {
  if (rollout.bad || !IsWorseVersion(totals.target, totals.old)) return;
  rollout.bad = true;
  log_.Write(
      Event::kRolloutJudgedBad, RequestId(),
      fmt::format("service={} target={} new=({}) old=({})", rollout.order().service.value(),
                  rollout.order().target.value(), Describe(totals.target), Describe(totals.old)));
}

RolloutState RolloutController::Advance(Rollout& rollout, std::chrono::milliseconds store_now,
                                        std::uint64_t own_open) {
  const EvidenceTotals totals = SumEvidence(rollout);
  JudgeTarget(rollout, totals);
  RolloutSnapshot snapshot = MakeSnapshot(rollout, store_now, own_open);
  snapshot.suspect = IsWorseVersion(totals.target, totals.old, Certainty::kSuspicion);
  const RolloutSchedule schedule = MakeRolloutSchedule(limits_, snapshot);
  const double before = rollout.share;
  SetShare(rollout, schedule, snapshot);
  if (rollout.share != before) {
    log_.Write(Event::kRolloutShareChanged, RequestId(),
               fmt::format("service={} target={} share={:.2f} progress={:.2f} open_at_old={} "
                           "new=({}) old=({})",
                           rollout.order().service.value(), rollout.order().target.value(),
                           rollout.share, snapshot.progress, snapshot.open_at_old,
                           Describe(totals.target), Describe(totals.old)));
  }
  return NextState(schedule, snapshot);
}

std::optional<RolloutProgress> RolloutController::Step(Rollout& rollout,
                                                       std::chrono::milliseconds store_now,
                                                       const RolloutInputs& inputs) {
  if (!rollout.progress) {
    return rows_.PrepareWrite(rollout.known, InitialProgress(rollout, store_now));
  }
  RolloutProgress known = *rollout.progress;
  known.verdicts = VerdictsFor(known);
  if (rollout.progress->state == RolloutState::kCompleted) {
    rollout.share = 1;
    rollout.in_trial = false;
  } else {
    const RolloutState next = Advance(rollout, store_now, inputs.open_at_old);
    if (next != rollout.progress->state) {
      RolloutProgress changed = known;
      changed.state = next;
      return rows_.PrepareWrite(rollout.known, std::move(changed));
    }
  }
  return rows_.PrepareRewrite(rollout.known, known, inputs.rank, store_now);
}

std::vector<RolloutProgress> RolloutController::Tick(
    std::chrono::milliseconds store_now, const std::map<ServiceId, RolloutInputs>& inputs) {
  std::vector<RolloutProgress> writes;
  for (auto& [service, rollout] : rollouts_) {
    const auto input = inputs.find(service);
    const auto write =
        Step(rollout, store_now, input == inputs.end() ? RolloutInputs{} : input->second);
    if (write) writes.push_back(*write);
  }
  return writes;
}

}  // namespace bamboodock
