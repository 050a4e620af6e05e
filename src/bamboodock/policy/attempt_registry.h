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

/// What a `start` message says about its attempt.
struct AttemptStart {
  AttemptId attempt;
  /// Incarnation of the sidecar that the entry addressed, as told when the channel opened.
  IncarnationId incarnation;
  /// Deadline on the sidecar's clock. It must not be computed from the time of receipt, since a
  /// copy that was delayed would then get a later deadline than the original.
  MonotonicTime deadline;
};

/// What to do with a `start` message.
enum class AttemptVerdict : std::uint8_t {
  /// Not seen before: run it.
  kStart,
  /// Refused now; the refusal is remembered.
  kRefused,
  /// It runs: resume its answer.
  kAlreadyRunning,
  /// It has finished: send the stored answer again.
  kFinished,
  /// Copy of an attempt that was refused before; the refusal stands.
  kLateCopy,
  kPastDeadline,
  /// Addressed to an earlier run of this sidecar, whose registry is lost.
  kEarlierIncarnation,
};

/// Verdict with the code and run state that the refusal reports.
struct AttemptDecision {
  AttemptVerdict verdict = AttemptVerdict::kRefused;
  ResultCode code = ResultCode::kOk;
  RunState run = RunState::kNotRun;
};

/// Attempts that a sidecar started or refused, until their deadline plus a margin.
///
/// A refusal "not run" is final because the id is remembered while a copy may still arrive before
/// its deadline, and copies past the deadline are rejected.
class AttemptRegistry {
 public:
  /// @param capacity Most attempts started and not expired. As many refusals are kept in addition,
  ///     so that a full registry can still refuse with "not run".
  AttemptRegistry(IncarnationId incarnation, std::size_t capacity, Duration margin);
  ~AttemptRegistry();
  AttemptRegistry(const AttemptRegistry&) = delete;
  AttemptRegistry& operator=(const AttemptRegistry&) = delete;

  /// Decides on a `start`; records the attempt as started when the verdict is kStart.
  AttemptDecision Start(const AttemptStart& start, MonotonicTime now);
  /// Refuses an attempt "not run", whether or not it is known. The decision tells what to answer:
  /// an attempt that runs or has finished is not refused any more.
  AttemptDecision Refuse(const AttemptStart& start, ResultCode code, MonotonicTime now);
  /// Turns a started attempt into one that was refused before its request was sent to the engine.
  /// It keeps its room among the started ones. False when it is not known as started.
  bool Withdraw(const AttemptId& attempt, ResultCode code);
  /// The answer is complete or failed for good; false when it is not known as started.
  bool Finish(const AttemptId& attempt);
  /// What is known about an attempt without starting it (`resume`, `attempt_status`).
  AttemptDecision Lookup(const AttemptId& attempt) const;
  /// Forgets attempts whose deadline plus margin has passed; returns their number.
  std::size_t Expire(MonotonicTime now);

  /// Attempts started and not yet forgotten.
  std::size_t started() const { return started_; }
  /// All records; at most twice the capacity.
  std::size_t size() const { return records_.size(); }

 private:
  struct Record : boost::intrusive::list_base_hook<> {
    AttemptId attempt;
    AttemptVerdict verdict = AttemptVerdict::kAlreadyRunning;
    ResultCode code = ResultCode::kOk;
    bool counts_as_started = false;
  };
  using RecordList = boost::intrusive::list<Record>;

  static AttemptDecision Describe(const Record& record);
  AttemptDecision Reject(const AttemptStart& start, MonotonicTime now) const;
  AttemptDecision RememberRefusal(const AttemptStart& start, ResultCode code);
  Record& Add(const AttemptStart& start);

  IncarnationId incarnation_;
  std::size_t capacity_;
  Duration margin_;
  std::unordered_map<AttemptId, std::unique_ptr<Record>> records_;
  /// Records by the end of the second in which their deadline lies, in deadline order.
  std::map<MonotonicTime, RecordList> slots_;
  std::size_t started_ = 0;
};

}  // namespace bamboodock
