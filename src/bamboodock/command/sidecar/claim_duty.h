#pragma once

#include <variant>
#include <vector>

#include "bamboodock/command/sidecar/admission_duty.h"
#include "bamboodock/command/sidecar/work.h"
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
  std::string end;
};

using ClaimCommand = std::variant<Work, FinishClaimCommand>;

/// Owner of the durable claims of non-idempotent calls.
class ClaimDuty : public Duty<ClaimDuty, ClaimCommand>, public WorkQueue {
 public:
  struct Parts {
    IncarnationId incarnation;
    TableCommands& commands;
    TableQueries& queries;
    TimelineDuty& timeline;
    WorkQueue& runners;
  };

  explicit ClaimDuty(const Parts& parts) : parts_(parts) {}
  ~ClaimDuty() override { Stop(); }

  /// Sets the receiver of outcomes; must be called before `Start()`.
  void SetAdmission(AdmissionDuty& admission) { admission_ = &admission; }

  bool Accept(Work work) override { return Post(std::move(work)); }

  void Handle(ClaimCommand& command);
  MonotonicTime Tick();

 private:
  struct StoredClaim {
    std::optional<ClaimRow> row;
    RowVersion version;
  };

  void Apply(Work& work);
  void Apply(FinishClaimCommand& command);
  ClaimRow RowFor(const AttemptStartMessage& start) const;
  Result<StoredClaim> ReadRow(const std::string& key);
  /// Carries out the steps of `rule` until it decides.
  void Claim(const std::string& key, ClaimRule& rule);
  void Write(const std::string& key, RowVersion version, ClaimRule& rule);
  void Run(Work& work);
  void AnswerStored(const Work& work, const ClaimRow& row);
  void Withdraw(const Work& work, ResultCode code, RunState run);
  bool ReleaseRow(const std::string& key, const AttemptId& attempt);

  struct Release {
    std::string key;
    AttemptId attempt;
  };

  Parts parts_;
  AdmissionDuty* admission_ = nullptr;
  /// Rows of attempts that never started although their claim may be stored.
  std::vector<Release> releases_;
};

}  // namespace bamboodock
