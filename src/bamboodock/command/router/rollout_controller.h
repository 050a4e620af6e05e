#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bamboodock/command/router/rollout_rows.h"
#include "bamboodock/observe/event_log.h"
#include "bamboodock/policy/latency_baseline.h"
#include "bamboodock/policy/rollout_return.h"
#include "bamboodock/policy/rollout_schedule.h"
#include "bamboodock/policy/rollout_versions.h"
#include "bamboodock/routing/attempt_plan.h"
#include "bamboodock/routing/operator_orders.h"
#include "bamboodock/routing/peer_report.h"

namespace bamboodock {

/// What the planning duty knows of a rollout besides its evidence.
struct RolloutInputs {
  /// Open attempts of this entry at old versions.
  std::uint64_t open_at_old = 0;
  /// Rank of this entry among those that write the progress again when the store has lost it.
  std::uint32_t rank = 0;
};

/// Returns the versions of a service that have endpoints.
using VersionsOfService = std::function<std::vector<VersionId>(const ServiceId&)>;

/// State of all rollouts: traffic share of the new version, evidence from all entries, next state.
///
/// Used on the planning duty's thread only. The state of a rollout is a row in the store that any
/// entry may update by a conditional write on its revision, so at most one of several concurrent
/// decisions takes effect. The row also holds the verdicts on versions of earlier orders, from
/// which entries that start later learn them. After the store has returned from an older copy, the
/// same order keeps its evidence, share and state, and what the copy lacks is written again.
class RolloutController {
 public:
  RolloutController(const ExposureLimits& limits, EventLog& log) : limits_(limits), log_(log) {}

  /// Takes note of the version that served before the first order of the service. Must precede
  /// `ApplyOrder`.
  void SetBaseline(const ServiceId& service, const VersionId& version);
  void ApplyOrder(const RolloutOrder& order);
  void Cancel(const ServiceId& service);
  void Apply(const RolloutProgress& progress);
  /// Takes note that the store holds no progress of the service.
  void RemoveProgress(const ServiceId& service) { rows_.Remove(service); }
  /// Applies cumulative evidence from another entry.
  void Apply(const IncarnationId& entry, const RolloutEvidence& evidence);
  /// Clears the open requests of an entry that has ended; its evidence is kept.
  void OnEntryEnded(const IncarnationId& entry);

  /// Whether a request goes to the target version; empty when the service has no rollout.
  ///
  /// @param sample Number in [0, 1) that is compared with the share of the target.
  /// @param entries Number of entries that divide the tolerated exposure.
  std::optional<bool> PrefersTarget(const ServiceId& service, double sample, std::uint32_t entries);
  /// Newest rollout order of the service, whatever its state; null when there is none.
  const RolloutOrder* Find(const ServiceId& service) const;
  /// Phase of the newest rollout of the service; `kOrdered` when it has none.
  RolloutPhase Phase(const ServiceId& service) const;
  /// What is known of versions from the orders before the newest one, from all entries.
  const VersionVerdicts& Verdicts(const ServiceId& service) const;
  /// Whether answers of the version show what to expect of the service: not those of a target
  /// before its rollout is completed, or of a version that was rejected or never decided.
  bool IsReference(const ServiceId& service, const VersionId& version) const;
  /// Drops verdicts on versions whose endpoints are gone for good.
  void ForgetAbsentVersions(const VersionsOfService& present, MonotonicTime now);
  /// Whether the target must not be used.
  bool IsTargetExcluded(const ServiceId& service) const;
  /// Whether only the target may be used.
  bool IsTargetOnly(const ServiceId& service) const;

  /// Whether the new version is on trial, so that sessions must not change to it.
  bool InTrial(const ServiceId& service) const;

  /// Keeps a session on its version until `until` while the target is on trial.
  void HoldBack(const ServiceId& service, SessionHash session, MonotonicTime until);
  bool IsHeldBack(const ServiceId& service, SessionHash session, MonotonicTime now) const;
  /// Share of the traffic that goes to a target on trial.
  Ratio trial_share() const { return MakeRolloutSchedule(limits_, {}).trial_share; }

  void OnSend(const ServiceId& service, bool to_target);
  /// Adds an answer that is under way to the evidence. `OnReport` then adds only what it showed
  /// later.
  void OnUnderWay(const AttemptReport& report, const LatencyBaseline::Verdict& latency);
  void OnReport(const AttemptReport& report, const LatencyBaseline::Verdict& latency);

  /// Evidence of this entry; the caller fills in `open_at_old`.
  std::vector<RolloutEvidence> Evidence() const;

  /// Advances all rollouts and returns the progress rows to write to the store.
  ///
  /// @param store_now Estimate of the store's clock.
  /// @param inputs By service; empty ones for services without.
  std::vector<RolloutProgress> Tick(std::chrono::milliseconds store_now,
                                    const std::map<ServiceId, RolloutInputs>& inputs);

 private:
  struct Rollout {
    KnownRolloutOrder known;
    std::optional<RolloutProgress> progress = std::nullopt;
    bool bad = false;
    EvidenceCounters own_target = {};
    EvidenceCounters own_old = {};
    std::unordered_map<IncarnationId, RolloutEvidence> peer_evidence = {};
    /// Requests that this entry has sent since the order, and those of them to the target.
    std::uint64_t requests = 0;
    std::uint64_t target_requests = 0;
    /// Share of the traffic that goes to the target, and whether the target is on trial.
    double share = 0;
    bool in_trial = true;
    std::unordered_map<SessionHash, MonotonicTime> held_back = {};

    const RolloutOrder& order() const { return known.order(); }
  };

  /// Evidence of all entries about both versions.
  struct EvidenceTotals {
    EvidenceCounters target;
    EvidenceCounters old;
  };

  /// Rollout of the same order, as known from before a return; null when the order is a new one.
  Rollout* FindSame(const RolloutOrder& order);
  void Begin(const RolloutOrder& order);
  /// Keeps what is known of the target of a rollout that ends or makes way for the next order.
  void RememberVerdict(const Rollout& rollout);
  void MergeVerdict(const ServiceId& service, const VersionVerdict& verdict);
  /// Verdicts to write into the row with the progress.
  std::vector<VersionVerdict> VerdictsFor(const RolloutProgress& progress) const;
  static RolloutPhase PhaseOf(const Rollout& rollout);
  /// Takes over the progress unless it is that of another order or an earlier state.
  static void Adopt(Rollout& rollout, const RolloutProgress& progress);
  /// Counters of the report's version; null when its service has no rollout.
  EvidenceCounters* CountersOf(const AttemptReport& report);
  static EvidenceTotals SumEvidence(const Rollout& rollout);
  void JudgeTarget(Rollout& rollout, const EvidenceTotals& totals);
  /// Judges the target and sets its share; returns the new state of the rollout.
  RolloutState Advance(Rollout& rollout, std::chrono::milliseconds store_now,
                       std::uint64_t own_open);
  static void SetShare(Rollout& rollout, const RolloutSchedule& schedule,
                       const RolloutSnapshot& snapshot);
  RolloutSnapshot MakeSnapshot(const Rollout& rollout, std::chrono::milliseconds store_now,
                               std::uint64_t own_open) const;
  RolloutProgress InitialProgress(const Rollout& rollout, std::chrono::milliseconds now) const;
  /// Advances a rollout; returns the progress row to write, if any.
  std::optional<RolloutProgress> Step(Rollout& rollout, std::chrono::milliseconds store_now,
                                      const RolloutInputs& inputs);

  ExposureLimits limits_;
  EventLog& log_;
  std::map<ServiceId, Rollout> rollouts_;
  /// Rollouts whose orders were cancelled before they were decided. The store may return from a
  /// copy that still holds the order.
  std::map<ServiceId, Rollout> cancelled_;
  std::map<ServiceId, VersionVerdicts> verdicts_;
  RolloutRows rows_;
};

}  // namespace bamboodock
