#pragma once

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bamboodock/observe/event_log.h"
#include "bamboodock/policy/rollout_schedule.h"
#include "bamboodock/policy/usual_times.h"
#include "bamboodock/routing/attempt_plan.h"
#include "bamboodock/routing/operator_orders.h"
#include "bamboodock/routing/peer_report.h"

namespace bamboodock {

/// Rollouts in progress: share of the new version, evidence of all entries, next state.
///
/// Owned by the route duty. The state of a rollout is a row in the store that every entry may write
/// under the condition that it has not changed, so two entries that decide at once do no harm.
class RolloutController {
 public:
  RolloutController(const ExposureLimits& limits, EventLog& log) : limits_(limits), log_(log) {}

  void ApplyOrder(const RolloutOrder& order);
  void Cancel(const ServiceId& service);
  void Apply(const RolloutProgress& progress);
  /// Evidence of another entry, cumulative.
  void Apply(const IncarnationId& entry, const RolloutEvidence& evidence);
  /// The entry has ended: it has no open requests any more, its evidence stays.
  void OnEntryEnded(const IncarnationId& entry);

  /// Whether a request that draws `draw` in [0, 1) goes to the target version; empty when the
  /// service has no rollout that concerns the choice.
  std::optional<bool> PrefersTarget(const ServiceId& service, double sample, std::uint32_t entries);
  /// Target of the newest rollout of the service, whatever its state; empty when there is none.
  const RolloutOrder* Find(const ServiceId& service) const;
  /// Whether the target must not be used at all.
  bool IsTargetExcluded(const ServiceId& service) const;
  /// Whether only the target may be used.
  bool IsTargetOnly(const ServiceId& service) const;

  /// Whether the new version is only tried out, so that sessions may not change to it.
  bool InTrial(const ServiceId& service) const;

  /// Notes a session that stays on its version until `until` while the target is tried out.
  void HoldBack(const ServiceId& service, SessionHash session, MonotonicTime until);
  bool IsHeldBack(const ServiceId& service, SessionHash session, MonotonicTime now) const;
  /// Share of the traffic that tries a target out.
  Ratio trial_share() const { return PlanPhases(limits_, {}).trial_share; }

  void OnSend(const ServiceId& service, bool to_target);
  void OnReport(const AttemptReport& report, const UsualTimes::Verdict& times);

  /// Own evidence, with `open_at_old` filled in by the caller.
  std::vector<RolloutEvidence> Evidence() const;

  /// Advances all rollouts and returns the progress rows to be written.
  ///
  /// @param store_now Estimate of the store's clock.
  /// @param open_at_old Own open attempts at old versions, by service.
  std::vector<RolloutProgress> Tick(std::chrono::milliseconds store_now,
                                    const std::map<ServiceId, std::uint64_t>& open_at_old);

 private:
  struct Rollout {
    RolloutOrder order;
    std::optional<RolloutProgress> progress;
    bool bad = false;
    EvidenceCounters own_target;
    EvidenceCounters own_old;
    std::unordered_map<IncarnationId, RolloutEvidence> peer_evidence;
    /// Requests of this entry since the order, and those sent to the target.
    std::uint64_t requests = 0;
    std::uint64_t target_requests = 0;
    /// Share of the traffic that goes to the target, and whether that is a trial only.
    double share = 0;
    bool in_trial = true;
    std::unordered_map<SessionHash, MonotonicTime> held_back;
  };

  /// Answers of both versions at all entries.
  struct Answers {
    EvidenceCounters target;
    EvidenceCounters old;
  };

  static Answers AllAnswers(const Rollout& rollout);
  void JudgeTarget(Rollout& rollout, const Answers& answers);
  /// Judges the target and sets its share; returns the state that the rollout is to have.
  RolloutState Advance(Rollout& rollout, std::chrono::milliseconds store_now,
                       std::uint64_t own_open);
  static void SetShare(Rollout& rollout, const RolloutSchedule& schedule,
                       const RolloutSituation& situation);
  RolloutSituation Situation(const Rollout& rollout, std::chrono::milliseconds store_now,
                             std::uint64_t own_open) const;
  static RolloutProgress InitialProgress(const Rollout& rollout, std::chrono::milliseconds now);

  ExposureLimits limits_;
  EventLog& log_;
  std::map<ServiceId, Rollout> rollouts_;
  std::map<ServiceId, RolloutProgress> progress_;
};

}  // namespace bamboodock
