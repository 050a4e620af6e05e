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
  /// The owner never ran the call and never will under this attempt.
  kReleased,
};

/// Content of row `claims/<account>/<key>`.
struct ClaimRow {
  AttemptId attempt;
  IncarnationId owner;
  ClaimState state = ClaimState::kStarted;
  /// Hash of the call, so that a key used for another call is detected.
  ObjectHash call;
  /// Answer of a finished call.
  int status = 0;
  std::string body;
};

/// What to do next with a non-idempotent call.
enum class ClaimStep : std::uint8_t {
  kReadRow,
  /// Write the started row on the condition that the row read has not changed.
  kWriteRow,
  /// The outcome of the write is not known: read the row.
  kReadBack,
  kRun,
  kAnswerStored,
  /// The call may have run; never run it again.
  kAnswerUnknown,
  /// Never start this attempt.
  kRefuseNotRun,
};

enum class ClaimWriteOutcome : std::uint8_t { kWritten, kConflict, kNotSent, kAnswerLost };

/// Steps of one attempt of a non-idempotent call; the caller carries out `step()`.
class ClaimRule {
 public:
  /// @param mine Row that the attempt writes, in state kStarted.
  explicit ClaimRule(ClaimRow mine);

  ClaimStep step() const { return step_; }
  ResultCode code() const { return code_; }
  const ClaimRow& mine() const { return mine_; }
  /// The finished row when `step()` is kAnswerStored.
  const ClaimRow& stored() const { return stored_; }
  /// Whether the own row may exist or appear although the attempt was refused. The owner then
  /// writes state kReleased on the condition that the row is as read, also when it is absent: that
  /// makes the condition of a delayed write fail.
  bool release_later() const { return release_later_; }

  /// Outcome of kReadRow or kReadBack; empty when there is no row.
  void OnRow(const std::optional<ClaimRow>& row);
  /// kReadRow or kReadBack got no answer.
  void OnReadFailed();
  void OnWrite(ClaimWriteOutcome outcome);

 private:
  void Refuse(ResultCode code);
  bool IsMine(const ClaimRow& row) const;

  ClaimRow mine_;
  ClaimRow stored_;
  ClaimStep step_ = ClaimStep::kReadRow;
  ResultCode code_ = ResultCode::kOk;
  bool write_sent_ = false;
  bool release_later_ = false;
};

}  // namespace bamboodock
