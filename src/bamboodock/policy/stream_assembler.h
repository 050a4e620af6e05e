#pragma once

#include <cstdint>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// What to do with a message of an answer.
enum class StreamVerdict : std::uint8_t {
  /// Pass the chunk to the caller.
  kDeliver,
  /// A repeat, a late message or one of another attempt.
  kIgnore,
  /// Chunks are missing: resume from `next()`.
  kResume,
  /// All chunks were delivered and the count agrees.
  kComplete,
  /// The answer cannot become complete; report an error.
  kIncomplete,
};

/// Puts the chunks of one attempt's answer in order without a gap or a repeat.
class StreamAssembler {
 public:
  /// @param max_resumes Resumes without a delivered chunk in between before the answer is given up.
  StreamAssembler(AttemptId attempt, std::uint32_t max_resumes);

  StreamVerdict OnChunk(const AttemptId& attempt, SequenceNumber sequence);
  /// @param count Number of chunks of the complete answer.
  StreamVerdict OnEnd(const AttemptId& attempt, SequenceNumber count);
  /// The connection was silent for too long or was closed before the end.
  StreamVerdict OnSilence();
  /// The deadline passed or no endpoint knows the attempt any more.
  StreamVerdict OnGiveUp();

  /// The next sequence number to deliver.
  SequenceNumber next() const { return next_; }
  bool done() const { return done_; }
  bool complete() const { return complete_; }

 private:
  StreamVerdict Resume();
  StreamVerdict Fail();

  AttemptId attempt_;
  std::uint32_t max_resumes_;
  std::uint32_t resumes_ = 0;
  SequenceNumber next_;
  bool done_ = false;
  bool complete_ = false;
};

}  // namespace bamboodock
