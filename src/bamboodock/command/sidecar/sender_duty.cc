#include "bamboodock/command/sidecar/sender_duty.h"

#include "bamboodock/codec/attempt_message.h"

namespace bamboodock {

void SenderDuty::Close() {
  closing_ = true;
  Stop();
}

void SenderDuty::Handle(SendCommand& command) {
  const AnswerLog& log = *command.log;
  std::size_t index = 0;
  bool connected = true;
  while (connected && !closing_ && !log.AtEnd(index)) {
    connected = SendNext(log, index);
    // The head is at index 0 and chunk N at N + 1; a resumed answer skips chunks already delivered.
    if (index == 1) index += command.next.value();
  }
}

MonotonicTime SenderDuty::Tick() {
  return std::chrono::steady_clock::now() + std::chrono::hours(1);
}

bool SenderDuty::SendNext(const AnswerLog& log, std::size_t& index) {
  const auto deadline = std::chrono::steady_clock::now() + config::kHeartbeatInterval;
  const std::optional<std::string> message = log.ReadUntil(index, deadline);
  if (!message) return sender_.Send(EncodeMessage(SidecarMessage(HeartbeatMessage{})));
  ++index;
  return sender_.Send(*message);
}

}  // namespace bamboodock
