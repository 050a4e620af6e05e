#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "bamboodock/codec/attempt_message.h"
#include "bamboodock/codec/control_message.h"
#include "bamboodock/command/config/config_duty.h"
#include "bamboodock/command/ledger/ledger_duty.h"
#include "bamboodock/command/sidecar/admitted_attempt.h"
#include "bamboodock/command/sidecar/answer_log.h"
#include "bamboodock/command/sidecar/sender_duty.h"
#include "bamboodock/core/duty.h"
#include "bamboodock/observe/latency_summary.h"
#include "bamboodock/observe/timeline.h"
#include "bamboodock/policy/admission_ramp.h"
#include "bamboodock/policy/attempt_registry.h"

namespace bamboodock {

struct StartCommand {
  AttemptStartMessage message;
  Ref<SenderDuty> sender;
};

struct ResumeCommand {
  AttemptResumeMessage message;
  Ref<SenderDuty> sender;
};

struct CancelCommand {
  AttemptId attempt;
};

/// The attempt ended before its request was sent to the endpoint.
struct WithdrawCommand {
  AttemptId attempt;
  Failure failure;
};

/// The attempt ended without an endpoint call: a stored answer is already in its log.
struct AnswerReplayedCommand {
  AttemptId attempt;
};

/// Load reported by the endpoint; `reachable` is false when it could not be polled.
struct LoadReportCommand {
  bool reachable = false;
  bool warm = false;
  Concurrency load;
  std::chrono::milliseconds age{0};
};

/// The process is shutting down: admission refuses new attempts.
struct LeaveCommand {};

using AdmissionCommand =
    std::variant<StartCommand, ResumeCommand, CancelCommand, WithdrawCommand, AnswerReplayedCommand,
                 EndpointCallOutcome, LoadReportCommand, LeaveCommand>;

/// Snapshot of the admission state for queries and `sync`.
class AdmissionSnapshot : public RefCounted<AdmissionSnapshot> {
 public:
  Concurrency in_flight;
  Concurrency limit;
  bool warm = false;
  bool leaving = false;
  Concurrency reported_load;
  std::chrono::milliseconds report_age{0};
  std::vector<VersionCounters> evidence;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  LatencySummary first_token;
};

/// Queue for admitted attempts: the runner pool, or the claim duty ahead of it.
class AttemptQueue {
 public:
  virtual ~AttemptQueue() = default;
  /// Queues the attempt; false when the queue is full or closed.
  virtual bool TryPush(AdmittedAttempt admitted) = 0;
};

/// Owns the attempts of one endpoint: admission, attempt registry, concurrency ramp and the
/// evidence counters of each version.
class AdmissionDuty : public Duty<AdmissionDuty, AdmissionCommand> {
 public:
  struct Parts {
    EndpointId endpoint;
    IncarnationId incarnation;
    ConfigDuty& config;
    LedgerDuty& ledger;
    TimelineDuty& timeline;
    AttemptQueue& runners;
    AttemptQueue& claims;
  };

  explicit AdmissionDuty(const Parts& parts);
  ~AdmissionDuty() { Stop(); }

  Ref<const AdmissionSnapshot> snapshot() const { return snapshot_.Load(); }
  /// Blocks until admission is shut down by `LeaveCommand` and no attempt is in flight; false when
  /// `deadline` passes first.
  bool WaitIdle(MonotonicTime deadline) const;

  void Handle(AdmissionCommand& command);
  MonotonicTime Tick();

 private:
  void Apply(StartCommand& command);
  void Apply(ResumeCommand& command);
  void Apply(CancelCommand& command);
  void Apply(WithdrawCommand& command);
  void Apply(AnswerReplayedCommand& command);
  void Apply(EndpointCallOutcome& outcome);
  void Apply(LoadReportCommand& command);
  void Apply(LeaveCommand& command);

  /// Reason not to admit the attempt now; empty when it may run.
  std::optional<Failure> CheckAdmission(const AttemptStartMessage& message) const;
  void Admit(StartCommand& command);
  void Refuse(const StartCommand& command, const Failure& failure);
  /// Answers a start that the registry did not allow: with the log of a known attempt, else with a
  /// refusal.
  void AnswerWithoutStarting(const StartCommand& command, const AttemptDecision& decision);
  void SendRefusal(const Ref<SenderDuty>& sender, const AttemptId& attempt, Failure failure);
  void FailSilentEngines(MonotonicTime now);
  EvidenceCounters& EvidenceFor(const ModelId& model, const VersionId& version);
  void ApplyEndpointLimits();
  void PublishSnapshot();

  Parts parts_;
  AttemptRegistry registry_;
  std::optional<AdmissionRamp> ramp_;
  Concurrency cold_limit_;
  Concurrency warm_limit_;
  /// Answer logs, kept until the attempt's deadline plus `config::kAttemptMargin`.
  std::unordered_map<AttemptId, Ref<AnswerLog>> answer_logs_;
  std::multimap<MonotonicTime, AttemptId> answer_log_expiry_;
  std::unordered_map<AttemptId, Ref<AnswerLog>> open_attempts_;
  std::map<std::pair<ModelId, VersionId>, VersionCounters> evidence_;
  LatencySummary first_token_;
  std::uint64_t admitted_ = 0;
  std::uint64_t refused_ = 0;
  bool leaving_ = false;
  LoadReportCommand report_;
  SnapshotCell<AdmissionSnapshot> snapshot_;
};

}  // namespace bamboodock
