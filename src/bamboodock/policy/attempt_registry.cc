#include "bamboodock/policy/attempt_registry.h"

#include <utility>

namespace bamboodock {

namespace {

MonotonicTime BucketEnd(MonotonicTime deadline) {
  return std::chrono::ceil<std::chrono::seconds>(deadline);
}

}  // namespace

AttemptRegistry::AttemptRegistry(IncarnationId incarnation, std::size_t capacity, Duration margin)
    : incarnation_(std::move(incarnation)), capacity_(capacity), margin_(margin) {}

AttemptRegistry::~AttemptRegistry() {
  for (auto& [end, bucket] : buckets_) bucket.clear();
}

// Modelled in model/attempt.pml, process Sidecar.
AttemptDecision AttemptRegistry::Start(const AttemptStart& start, MonotonicTime now) {
  const auto it = records_.find(start.attempt);
  if (it != records_.end()) return ToDecision(*it->second);
  const AttemptDecision validity = Validate(start, now);
  if (validity.verdict != AttemptVerdict::kStart) return validity;
  if (started_ >= capacity_) return RecordRefusal(start, ResultCode::kOverloaded);
  Add(start).counts_as_started = true;
  ++started_;
  return {AttemptVerdict::kStart, ResultCode::kOk, RunState::kUnknown};
}

AttemptDecision AttemptRegistry::Refuse(const AttemptStart& start, ResultCode code,
                                        MonotonicTime now) {
  const auto it = records_.find(start.attempt);
  if (it != records_.end()) return ToDecision(*it->second);
  const AttemptDecision validity = Validate(start, now);
  if (validity.verdict != AttemptVerdict::kStart) return validity;
  return RecordRefusal(start, code);
}

bool AttemptRegistry::Withdraw(const AttemptId& attempt, ResultCode code) {
  const auto it = records_.find(attempt);
  if (it == records_.end() || it->second->verdict != AttemptVerdict::kAlreadyRunning) return false;
  it->second->verdict = AttemptVerdict::kLateCopy;
  it->second->code = code;
  return true;
}

bool AttemptRegistry::Finish(const AttemptId& attempt) {
  const auto it = records_.find(attempt);
  if (it == records_.end() || it->second->verdict != AttemptVerdict::kAlreadyRunning) return false;
  it->second->verdict = AttemptVerdict::kFinished;
  return true;
}

AttemptDecision AttemptRegistry::Lookup(const AttemptId& attempt) const {
  const auto it = records_.find(attempt);
  if (it != records_.end()) return ToDecision(*it->second);
  // An earlier incarnation may have run it, or its record has expired.
  return {AttemptVerdict::kEarlierIncarnation, ResultCode::kAttemptUnknown, RunState::kUnknown};
}

std::size_t AttemptRegistry::Expire(MonotonicTime now) {
  std::size_t expired = 0;
  while (!buckets_.empty() && buckets_.begin()->first + margin_ <= now) {
    RecordList& bucket = buckets_.begin()->second;
    while (!bucket.empty()) {
      const Record& record = bucket.front();
      if (record.counts_as_started) --started_;
      const AttemptId attempt = record.attempt;
      bucket.pop_front();
      records_.erase(attempt);
      ++expired;
    }
    buckets_.erase(buckets_.begin());
  }
  return expired;
}

AttemptDecision AttemptRegistry::ToDecision(const Record& record) {
  switch (record.verdict) {
    case AttemptVerdict::kLateCopy:
      return {record.verdict, record.code, RunState::kNotRun};
    case AttemptVerdict::kFinished:
      return {record.verdict, ResultCode::kOk, RunState::kRan};
    default:
      return {record.verdict, ResultCode::kAlreadyRunning, RunState::kUnknown};
  }
}

// Checks an attempt that has no record; the verdict is kStart when it may run.
AttemptDecision AttemptRegistry::Validate(const AttemptStart& start, MonotonicTime now) const {
  if (start.incarnation != incarnation_) {
    return {AttemptVerdict::kEarlierIncarnation, ResultCode::kAttemptUnknown, RunState::kUnknown};
  }
  if (now >= start.deadline) {
    // Within the margin an attempt that ran would still have its record.
    const bool would_have_record = now < start.deadline + margin_;
    return {AttemptVerdict::kPastDeadline, ResultCode::kDeadlineExceeded,
            would_have_record ? RunState::kNotRun : RunState::kUnknown};
  }
  return {AttemptVerdict::kStart, ResultCode::kOk, RunState::kNotRun};
}

AttemptDecision AttemptRegistry::RecordRefusal(const AttemptStart& start, ResultCode code) {
  const std::size_t refusals = records_.size() - started_;
  // A refusal that cannot be recorded is not final, because a duplicate could be started later.
  if (refusals >= capacity_) return {AttemptVerdict::kRefused, code, RunState::kUnknown};
  Record& record = Add(start);
  record.verdict = AttemptVerdict::kLateCopy;
  record.code = code;
  return {AttemptVerdict::kRefused, code, RunState::kNotRun};
}

AttemptRegistry::Record& AttemptRegistry::Add(const AttemptStart& start) {
  auto record = std::make_unique<Record>();
  record->attempt = start.attempt;
  buckets_[BucketEnd(start.deadline)].push_back(*record);
  return *(records_[start.attempt] = std::move(record));
}

}  // namespace bamboodock
