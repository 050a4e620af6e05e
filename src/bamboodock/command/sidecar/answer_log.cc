#include "bamboodock/command/sidecar/answer_log.h"

#include <utility>

#include "bamboodock/config/config.h"

namespace bamboodock {

bool AnswerLog::Append(std::string message) {
  {
    const std::lock_guard lock(mutex_);
    if (finished_ || bytes_ + message.size() > config::kMaxAnswerBytes) return false;
    bytes_ += message.size();
    messages_.push_back(std::move(message));
    last_append_ = std::chrono::steady_clock::now();
  }
  appended_.notify_all();
  return true;
}

void AnswerLog::Finish(std::string message) {
  {
    const std::lock_guard lock(mutex_);
    if (finished_) return;
    messages_.push_back(std::move(message));
    finished_ = true;
  }
  appended_.notify_all();
}

bool AnswerLog::finished() const {
  const std::lock_guard lock(mutex_);
  return finished_;
}

std::optional<std::string> AnswerLog::ReadUntil(std::size_t index, MonotonicTime deadline) const {
  std::unique_lock lock(mutex_);
  appended_.wait_until(lock, deadline, [&] { return messages_.size() > index || finished_; });
  if (messages_.size() <= index) return std::nullopt;
  return messages_[index];
}

bool AnswerLog::AtEnd(std::size_t index) const {
  const std::lock_guard lock(mutex_);
  return finished_ && index >= messages_.size();
}

MonotonicTime AnswerLog::last_append() const {
  const std::lock_guard lock(mutex_);
  return last_append_;
}

}  // namespace bamboodock
