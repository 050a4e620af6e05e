#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/ref_counted.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Encoded messages of one attempt's answer: the head, the chunks and a final message.
///
/// Thread-safe. One runner appends; any number of senders read at their own positions, so that an
/// answer can be resumed on a new connection. The log is bounded by `config::kMaxAnswerBytes`:
/// `Append` fails for a message that would exceed it.
class AnswerLog : public RefCounted<AnswerLog> {
 public:
  explicit AnswerLog(AttemptId attempt) : attempt_(std::move(attempt)) {}

  const AttemptId& attempt() const { return attempt_; }

  /// Adds a message; false when the log is full or already finished.
  bool Append(std::string message);
  /// Adds the last message, also to a full log; ignored when the log is already finished.
  void Finish(std::string message);
  bool finished() const;

  /// Message at `index`, waiting until `deadline`; empty on timeout or when the log finished before
  /// `index`.
  std::optional<std::string> ReadUntil(std::size_t index, MonotonicTime deadline) const;
  /// Whether `index` is past the final message.
  bool AtEnd(std::size_t index) const;

  /// Time of the last append, or of construction before the first; used to detect a silent engine.
  MonotonicTime last_append() const;

  void Cancel() { cancelled_ = true; }
  bool cancelled() const { return cancelled_; }

 private:
  AttemptId attempt_;
  std::atomic<bool> cancelled_{false};
  mutable std::mutex mutex_;
  mutable std::condition_variable appended_;
  std::vector<std::string> messages_;
  std::size_t bytes_ = 0;
  bool finished_ = false;
  MonotonicTime last_append_ = std::chrono::steady_clock::now();
};

}  // namespace bamboodock
