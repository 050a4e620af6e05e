#pragma once

#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <unordered_map>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result_code.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Fields of a `start` message.
struct AttemptStart {
  AttemptId attempt;
  /// Incarnation of the sidecar that the entry addressed, as received when the channel opened.
  IncarnationId incarnation;
  /// Deadline on the sidecar's clock. It must not be computed from the time of receipt, since a
  /// delayed duplicate would then get a later deadline than the original.
  MonotonicTime deadline;
};

/// What to do with a `start` message.
enum class AttemptVerdict : std::uint8_t {
  /// First message of the attempt: run it.
  kStart,
  /// Refused now. The refusal is recorded, and final, when the run state is `kNotRun`.
  kRefused,
  /// The attempt is running: resume its answer.
  kAlreadyRunning,
  /// The attempt has finished: send the stored answer again.
  kFinished,
  /// Duplicate of an attempt that was refused before; the refusal is final.
  kLateCopy,
  kPastDeadline,
  /// Addressed to an earlier incarnation of this sidecar, whose registry is lost.
  kEarlierIncarnation,
};

/// Verdict with the code and run state that the refusal reports.
struct AttemptDecision {
  AttemptVerdict verdict = AttemptVerdict::kRefused;
  ResultCode code = ResultCode::kOk;
  RunState run = RunState::kNotRun;
};

/// Attempts that a sidecar started or refused, kept until their deadline plus a margin.
///
/// A refusal "not run" is final because the id is kept while a duplicate may still arrive before
/// the deadline, and duplicates past the deadline are rejected.
class AttemptRegistry {
 public:
  /// @param capacity Maximum number of started attempts that have not expired. As many refusals are
  ///     kept in addition, so that a full registry can still refuse with "not run".
  /// @param margin Time after its deadline for which an attempt is kept.
  AttemptRegistry(IncarnationId incarnation, std::size_t capacity, Duration margin);
  ~AttemptRegistry();
  AttemptRegistry(const AttemptRegistry&) = delete;
  AttemptRegistry& operator=(const AttemptRegistry&) = delete;

  /// Decides on a `start`; records the attempt as started when the verdict is kStart.
  AttemptDecision Start(const AttemptStart& start, MonotonicTime now);
  /// Refuses an attempt with "not run" if it has no record yet. The decision says what to answer:
  /// an attempt that runs or has finished can no longer be refused.
  AttemptDecision Refuse(const AttemptStart& start, ResultCode code, MonotonicTime now);
  /// Marks a started attempt as refused before its request was sent to the engine. The attempt
  /// still counts as started until it expires. False when no running attempt has this id.
  bool Withdraw(const AttemptId& attempt, ResultCode code);
  /// Marks a running attempt as finished: its answer is complete or has failed for good. False when
  /// no running attempt has this id.
  bool Finish(const AttemptId& attempt);
  /// State of an attempt, without starting it (`resume`, `attempt_status`).
  AttemptDecision Lookup(const AttemptId& attempt) const;
  /// Removes attempts whose deadline plus margin has passed; returns their number.
  std::size_t Expire(MonotonicTime now);

  /// Number of attempts started and not yet expired.
  std::size_t started() const { return started_; }
  /// Number of all records; at most twice the capacity.
  std::size_t size() const { return records_.size(); }

 private:
  struct Record : boost::intrusive::list_base_hook<> {
    AttemptId attempt;
    AttemptVerdict verdict = AttemptVerdict::kAlreadyRunning;
    ResultCode code = ResultCode::kOk;
    bool counts_as_started = false;
  };
  using RecordList = boost::intrusive::list<Record>;

  static AttemptDecision ToDecision(const Record& record);
  AttemptDecision Validate(const AttemptStart& start, MonotonicTime now) const;
  AttemptDecision RecordRefusal(const AttemptStart& start, ResultCode code);
  Record& Add(const AttemptStart& start);

  IncarnationId incarnation_;
  std::size_t capacity_;
  Duration margin_;
  std::unordered_map<AttemptId, std::unique_ptr<Record>> records_;
  /// Records in buckets of one second by deadline; the key is the end of the second.
  std::map<MonotonicTime, RecordList> buckets_;
  std::size_t started_ = 0;
};

}  // namespace bamboodock
