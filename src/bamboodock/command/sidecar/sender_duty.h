#pragma once

#include <atomic>

#include "bamboodock/command/sidecar/answer_log.h"
#include "bamboodock/core/duty.h"
#include "bamboodock/core/ref_counted.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock {

/// Sends the answer in `log`: the head, then the chunks from `next` on.
struct SendCommand {
  Ref<AnswerLog> log;
  SequenceNumber next;
};

/// Writes answers to one message connection, one answer at a time.
class SenderDuty : public Duty<SenderDuty, SendCommand>, public RefCounted<SenderDuty> {
 public:
  explicit SenderDuty(MessageSender& sender) : sender_(sender) {}
  ~SenderDuty() { Close(); }

  /// Stops the thread, even in the middle of an answer.
  void Close();

  void Handle(SendCommand& command);
  MonotonicTime Tick();

 private:
  /// Sends the message at `index`, or a heartbeat when there is none within
  /// `config::kHeartbeatInterval`; false when the peer has disconnected.
  bool SendNext(const AnswerLog& log, std::size_t& index);

  MessageSender& sender_;
  std::atomic<bool> closing_{false};
};

}  // namespace bamboodock
