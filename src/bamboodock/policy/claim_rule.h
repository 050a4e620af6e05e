#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result_code.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

enum class ClaimState : std::uint8_t {
  /// The call may have run or may run now.
  kStarted,
  kFinished,
  /// The owner has not run the call and never will under this attempt.
  kReleased,
};

/// Content of row `claims/<account>/<key>`.
struct ClaimRow {
  AttemptId attempt;
  IncarnationId owner;
  ClaimState state = ClaimState::kStarted;
  /// Hash of the call, so that reuse of its key for another call is detected.
  ObjectHash call;
  /// Status and body of the answer of a finished call.
  int status = 0;
  std::string body;
};

/// Next action for a non-idempotent call.
enum class ClaimStep : std::uint8_t {
  kReadRow,
  /// Write the own row, in state kStarted, on the condition that the row has not changed since the
  /// read.
  kWriteRow,
  /// The outcome of the write is unknown: read the row again.
  kReadBack,
  kRun,
  kAnswerStored,
  /// The call may have run: report an unknown outcome and never run it again.
  kAnswerUnknown,
  /// Refuse with "not run" and never start this attempt.
  kRefuseNotRun,
};

enum class ClaimWriteOutcome : std::uint8_t { kWritten, kConflict, kNotSent, kAnswerLost };

/// State machine that claims a non-idempotent call for one attempt. The caller carries out `step()`
/// and reports its outcome.
class ClaimRule {
 public:
  /// @param own_row Row that the attempt writes; its state must be kStarted.
  explicit ClaimRule(ClaimRow own_row);

  ClaimStep step() const { return step_; }
  ResultCode code() const { return code_; }
  const ClaimRow& own_row() const { return own_row_; }
  /// The finished row when `step()` is kAnswerStored.
  const ClaimRow& stored() const { return stored_; }
  /// Whether the own row may exist or still appear although the attempt was refused. The owner then
  /// writes state kReleased on the condition that the row has not changed since it was read, also
  /// when it is absent. A delayed write of the own row then fails its condition.
  bool release_later() const { return release_later_; }

  /// Outcome of kReadRow or kReadBack; `row` is empty when there is none.
  void OnRow(const std::optional<ClaimRow>& row);
  /// The store did not answer kReadRow or kReadBack.
  void OnReadFailed();
  void OnWrite(ClaimWriteOutcome outcome);

 private:
  void Refuse(ResultCode code);
  bool IsOwn(const ClaimRow& row) const;

  ClaimRow own_row_;
  ClaimRow stored_;
  ClaimStep step_ = ClaimStep::kReadRow;
  ResultCode code_ = ResultCode::kOk;
  bool write_sent_ = false;
  bool release_later_ = false;
};

}  // namespace bamboodock
