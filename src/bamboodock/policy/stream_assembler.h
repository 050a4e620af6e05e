#pragma once

#include <cstdint>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Action for a message of an answer.
enum class StreamVerdict : std::uint8_t {
  /// Pass the chunk to the caller.
  kDeliver,
  /// A duplicate, a message after the end or a message of another attempt.
  kIgnore,
  /// Chunks are missing: resume the stream from `next()`.
  kResume,
  /// All chunks were delivered and their number matches the count of the answer.
  kComplete,
  /// The answer cannot be completed: report an error.
  kIncomplete,
};

/// Delivers the chunks of the answer of one attempt in order, without gaps or duplicates.
class StreamAssembler {
 public:
  /// @param max_resumes Maximum number of consecutive resumes without a delivered chunk.
  StreamAssembler(AttemptId attempt, std::uint32_t max_resumes);

  StreamVerdict OnChunk(const AttemptId& attempt, SequenceNumber sequence);
  /// @param count Number of chunks of the complete answer.
  StreamVerdict OnEnd(const AttemptId& attempt, SequenceNumber count);
  /// The connection timed out or was closed before the end of the answer.
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
