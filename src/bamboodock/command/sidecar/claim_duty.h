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

/// A claimed call has its answer, which is stored for repeats of the key.
///
/// The answer ends only after the row is stored or the store has failed, so that a caller who has
/// the answer and repeats the key gets it again.
struct FinishClaimCommand {
  AttemptStartMessage start;
  int status = 0;
  std::string body;
  Ref<AnswerLog> log;
  /// Encoded end mark of the answer.
  std::string end_message;
};

using ClaimCommand = std::variant<AdmittedAttempt, FinishClaimCommand>;

/// Owner of the durable claims of non-idempotent calls.
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
  /// Carries out the steps of `rule` until it decides.
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
  /// Rows of attempts that never started although their claim may be stored.
  std::vector<PendingRelease> pending_releases_;
};

}  // namespace bamboodock
