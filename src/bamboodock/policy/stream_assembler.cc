#include "bamboodock/policy/stream_assembler.h"

#include <utility>

namespace bamboodock {

StreamAssembler::StreamAssembler(AttemptId attempt, std::uint32_t max_resumes)
    : attempt_(std::move(attempt)), max_resumes_(max_resumes) {}

StreamVerdict StreamAssembler::OnChunk(const AttemptId& attempt, SequenceNumber sequence) {
  if (done_ || attempt != attempt_ || sequence < next_) return StreamVerdict::kIgnore;
  if (sequence > next_) return Resume();
  next_ = next_.Next();
  resumes_ = 0;
  return StreamVerdict::kDeliver;
}

StreamVerdict StreamAssembler::OnEnd(const AttemptId& attempt, SequenceNumber count) {
  if (done_ || attempt != attempt_) return StreamVerdict::kIgnore;
  if (count > next_) return Resume();
  // More chunks were delivered than the answer has.
  if (count < next_) return Fail();
  done_ = true;
  complete_ = true;
  return StreamVerdict::kComplete;
}

StreamVerdict StreamAssembler::OnSilence() { return done_ ? StreamVerdict::kIgnore : Resume(); }

StreamVerdict StreamAssembler::OnGiveUp() { return done_ ? StreamVerdict::kIgnore : Fail(); }

StreamVerdict StreamAssembler::Resume() {
  if (resumes_ >= max_resumes_) return Fail();
  ++resumes_;
  return StreamVerdict::kResume;
}

StreamVerdict StreamAssembler::Fail() {
  done_ = true;
  return StreamVerdict::kIncomplete;
}

}  // namespace bamboodock
