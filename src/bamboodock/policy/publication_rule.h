#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result_code.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Next action of a publisher.
enum class PublicationStep : std::uint8_t {
  /// Read `publications/<id>`: the id may have been used before.
  kReadPublication,
  /// Read `head`.
  kReadHead,
  /// Put the set into the object store under its hash.
  kPutObject,
  /// Send `prepare` to every witness.
  kPrepare,
  /// Send `prepare` again to the witnesses that acknowledged it.
  kConfirmPrepare,
  /// One transaction: head from `base()` to `next()` and insert `publications/<id>`.
  kCommit,
  /// The commit failed with a conflict or its answer was lost: read `head`, then
  /// `publications/<id>`.
  kReadBack,
  kAccepted,
  kConflict,
  /// This run did not commit; `failure()` has the reason.
  kFailed,
  /// The outcome cannot be read from the store; publishing again under the same id is safe.
  kUnknown,
};

/// Row `publications/<id>` or the publication named by `head`.
struct AcceptedPublication {
  PublicationId id;
  Epoch epoch;
};

/// Outcome of a commit as far as it is known to the publisher.
enum class CommitOutcome : std::uint8_t { kCommitted, kConflict, kNotSent, kAnswerLost };

/// State machine of one publication; the caller carries out `step()` and reports the outcome.
///
/// A witness may restart between its acknowledgement and the commit, and recover from witnesses
/// that have not acknowledged yet. The second round excludes this: an acknowledgement counts only
/// when the same incarnation repeats it after a majority has acknowledged the first round.
class PublicationRule {
 public:
  PublicationRule(PublicationId id, std::vector<HostId> witnesses);

  PublicationStep step() const { return step_; }
  const PublicationId& id() const { return id_; }
  Epoch base() const { return base_; }
  Epoch next() const { return base_.Next(); }
  /// The publication that was committed instead, when `step()` is kConflict.
  const PublicationId& winner() const { return winner_; }
  /// Epoch at which this publication was accepted, when `step()` is kAccepted.
  Epoch accepted() const { return accepted_; }
  ResultCode failure() const { return failure_; }

  /// Outcome of kReadPublication; empty when the id was never accepted.
  void OnPublication(const std::optional<AcceptedPublication>& row);
  /// Outcome of kReadHead. `expected` is the epoch on which the operator based the object set;
  /// empty when it is not checked.
  void OnHead(const AcceptedPublication& head, std::optional<Epoch> expected);
  void OnObjectPut();
  /// Answer of a witness to kPrepare or kConfirmPrepare. Answers may arrive in any order.
  void OnPrepareAnswer(const HostId& witness, const IncarnationId& incarnation, bool acknowledged);
  /// All witnesses have answered or timed out; the publication fails without a majority.
  void OnPrepareEnd();
  void OnCommit(CommitOutcome outcome);
  /// Outcome of kReadBack. The head must be read before the row: when the head has moved, a commit
  /// that has not arrived yet can no longer take effect, so an absent row stays absent.
  void OnReadBack(const std::optional<AcceptedPublication>& row, const AcceptedPublication& head);
  /// The store or object store did not answer the current step and will not be asked again.
  void OnStoreUnavailable();

 private:
  void Fail(ResultCode code);
  std::size_t Majority() const { return witnesses_.size() / 2 + 1; }

  PublicationId id_;
  std::vector<HostId> witnesses_;
  std::unordered_map<HostId, IncarnationId> prepared_;
  std::unordered_map<HostId, IncarnationId> confirmed_;
  PublicationId winner_;
  Epoch base_;
  Epoch accepted_;
  bool answer_lost_ = false;
  PublicationStep step_ = PublicationStep::kReadPublication;
  ResultCode failure_ = ResultCode::kOk;
};

}  // namespace bamboodock
