#pragma once

#include <variant>
#include <vector>

#include "bamboodock/command/sidecar/admission_duty.h"
#include "bamboodock/command/sidecar/admitted_attempt.h"
#include "bamboodock/core/duty.h"
#include "bamboodock/observe/timeline.h"
#include "bamboodock/policy/claim_rule.h"
#include "bamboodock/stores/table.h"

namespace bamboodock {

/// Stores the answer of a claimed call for repeats of its idempotency key.
///
/// The answer log is finished only after the row is stored or the store has failed, so that a
/// caller who has received the whole answer and repeats the key gets it again.
struct FinishClaimCommand {
  AttemptStartMessage start;
  int status = 0;
  std::string body;
  Ref<AnswerLog> log;
  /// Encoded `EndMessage` that finishes `log`.
  std::string end_message;
};

using ClaimCommand = std::variant<AdmittedAttempt, FinishClaimCommand>;

/// Owns the durable claims of non-idempotent calls: a call runs only after its claim is stored.
class ClaimDuty : public Duty<ClaimDuty, ClaimCommand>, public AttemptQueue {
 public:
  struct Parts {
    IncarnationId incarnation;
    TableCommands& commands;
    TableQueries& queries;
    TimelineDuty& timeline;
    AttemptQueue& runners;
  };

  explicit ClaimDuty(const Parts& parts) : parts_(parts) {}
  ~ClaimDuty() override { Stop(); }

  /// Sets the receiver of outcomes; must be called before `Start()`.
  void SetAdmission(AdmissionDuty& admission) { admission_ = &admission; }

  bool TryPush(AdmittedAttempt admitted) override { return Post(std::move(admitted)); }

  void Handle(ClaimCommand& command);
  MonotonicTime Tick();

 private:
  struct StoredClaim {
    std::optional<ClaimRow> row;
    RowVersion version;
  };

  void Apply(AdmittedAttempt& admitted);
  void Apply(FinishClaimCommand& command);
  ClaimRow MakeClaimRow(const AttemptStartMessage& start) const;
  Result<StoredClaim> ReadClaimRow(const std::string& key);
  /// Does the reads and writes that `rule` requests until it reaches a decision.
  void ExecuteClaimRule(const std::string& key, ClaimRule& rule);
  void WriteClaimRow(const std::string& key, RowVersion version, ClaimRule& rule);
  void ForwardToRunners(AdmittedAttempt& admitted);
  void ReplayStoredAnswer(const AdmittedAttempt& admitted, const ClaimRow& row);
  void Withdraw(const AdmittedAttempt& admitted, ResultCode code, RunState run);
  bool TryReleaseClaimRow(const std::string& key, const AttemptId& attempt);

  struct PendingRelease {
    std::string key;
    AttemptId attempt;
  };

  Parts parts_;
  AdmissionDuty* admission_ = nullptr;
  /// Claims that may be stored although their attempt never started; `Tick()` releases them.
  std::vector<PendingRelease> pending_releases_;
};

}  // namespace bamboodock
