#include "bamboodock/policy/attempt_registry.h"

#include <utility>

namespace bamboodock {

namespace {

MonotonicTime SlotEnd(MonotonicTime deadline) {
  return std::chrono::ceil<std::chrono::seconds>(deadline);
}

}  // namespace

AttemptRegistry::AttemptRegistry(IncarnationId incarnation, std::size_t capacity, Duration margin)
    : incarnation_(std::move(incarnation)), capacity_(capacity), margin_(margin) {}

AttemptRegistry::~AttemptRegistry() {
  for (auto& [end, slot] : slots_) slot.clear();
}

// Modelled in model/attempt.pml, process Sidecar.
AttemptDecision AttemptRegistry::Start(const AttemptStart& start, MonotonicTime now) {
  const auto it = records_.find(start.attempt);
  if (it != records_.end()) return Describe(*it->second);
  const AttemptDecision rejection = Reject(start, now);
  if (rejection.verdict != AttemptVerdict::kStart) return rejection;
  if (started_ >= capacity_) return RememberRefusal(start, ResultCode::kOverloaded);
  Add(start).counts_as_started = true;
  ++started_;
  return {AttemptVerdict::kStart, ResultCode::kOk, RunState::kUnknown};
}

AttemptDecision AttemptRegistry::Refuse(const AttemptStart& start, ResultCode code,
                                        MonotonicTime now) {
  const auto it = records_.find(start.attempt);
  if (it != records_.end()) return Describe(*it->second);
  const AttemptDecision rejection = Reject(start, now);
  if (rejection.verdict != AttemptVerdict::kStart) return rejection;
  return RememberRefusal(start, code);
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
  if (it != records_.end()) return Describe(*it->second);
  // An earlier incarnation may have run it, or its record has expired.
  return {AttemptVerdict::kEarlierIncarnation, ResultCode::kAttemptUnknown, RunState::kUnknown};
}

std::size_t AttemptRegistry::Expire(MonotonicTime now) {
  std::size_t expired = 0;
  while (!slots_.empty() && slots_.begin()->first + margin_ <= now) {
    RecordList& slot = slots_.begin()->second;
    while (!slot.empty()) {
      const Record& record = slot.front();
      if (record.counts_as_started) --started_;
      const AttemptId attempt = record.attempt;
      slot.pop_front();
      records_.erase(attempt);
      ++expired;
    }
    slots_.erase(slots_.begin());
  }
  return expired;
}

AttemptDecision AttemptRegistry::Describe(const Record& record) {
  switch (record.verdict) {
    case AttemptVerdict::kLateCopy:
      return {record.verdict, record.code, RunState::kNotRun};
    case AttemptVerdict::kFinished:
      return {record.verdict, ResultCode::kOk, RunState::kRan};
    default:
      return {record.verdict, ResultCode::kAlreadyRunning, RunState::kUnknown};
  }
}

// kStart when nothing speaks against an attempt without a record.
AttemptDecision AttemptRegistry::Reject(const AttemptStart& start, MonotonicTime now) const {
  if (start.incarnation != incarnation_) {
    return {AttemptVerdict::kEarlierIncarnation, ResultCode::kAttemptUnknown, RunState::kUnknown};
  }
  if (now >= start.deadline) {
    // Within the margin an attempt that ran would still have its record.
    const bool remembered = now < start.deadline + margin_;
    return {AttemptVerdict::kPastDeadline, ResultCode::kDeadlineExceeded,
            remembered ? RunState::kNotRun : RunState::kUnknown};
  }
  return {AttemptVerdict::kStart, ResultCode::kOk, RunState::kNotRun};
}

AttemptDecision AttemptRegistry::RememberRefusal(const AttemptStart& start, ResultCode code) {
  const std::size_t refusals = records_.size() - started_;
  // A refusal that cannot be remembered cannot be final, because a copy could be started later.
  if (refusals >= capacity_) return {AttemptVerdict::kRefused, code, RunState::kUnknown};
  Record& record = Add(start);
  record.verdict = AttemptVerdict::kLateCopy;
  record.code = code;
  return {AttemptVerdict::kRefused, code, RunState::kNotRun};
}

AttemptRegistry::Record& AttemptRegistry::Add(const AttemptStart& start) {
  auto record = std::make_unique<Record>();
  record->attempt = start.attempt;
  slots_[SlotEnd(start.deadline)].push_back(*record);
  return *(records_[start.attempt] = std::move(record));
}

}  // namespace bamboodock
