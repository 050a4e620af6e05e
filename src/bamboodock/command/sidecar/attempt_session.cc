#include "bamboodock/command/sidecar/attempt_session.h"

#include <utility>

#include "bamboodock/observe/log.h"

namespace bamboodock {

AttemptSession::AttemptSession(MessageSender& sender, const IncarnationId& incarnation,
                               AdmissionDuty& admission, HybridClock& clock)
    : admission_(admission), clock_(clock), sender_(MakeRef<SenderDuty>(sender)) {
  const HelloMessage hello{incarnation, std::chrono::steady_clock::now()};
  sender.Send(EncodeMessage(SidecarMessage(hello)));
  sender_->Start();
}

AttemptSession::~AttemptSession() { sender_->Close(); }

void AttemptSession::OnMessage(std::string_view message) {
  HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(decoded, DecodeEntryMessage(message));
        std::visit([this](auto& m) { Post(std::move(m)); }, decoded);
        return true;
      },
      [](const Failure& failure) {
        LogEvent(Event::kAttemptRefused, RequestId(),
                 "cannot decode a message from an entry: " + failure.detail);
        return false;
      });
}

void AttemptSession::Post(AttemptStartMessage message) {
  clock_.Observe(message.sent_at);
  const AttemptId attempt = message.attempt;
  if (admission_.Post(StartCommand{std::move(message), sender_})) return;
  // The attempt registry has no record of the attempt, so a late copy of the message could still
  // start it: its run state is unknown.
  auto log = MakeRef<AnswerLog>(attempt);
  const Failure failure{ResultCode::kRingFull, "the sidecar's admission queue is full",
                        RunState::kUnknown};
  log->Finish(EncodeMessage(SidecarMessage(RefusedMessage{failure, Epoch()})));
  sender_->Post(SendCommand{log, SequenceNumber(0)});
}

void AttemptSession::Post(AttemptResumeMessage message) {
  admission_.Post(ResumeCommand{std::move(message), sender_});
}

void AttemptSession::Post(AttemptCancelMessage message) {
  admission_.Post(CancelCommand{std::move(message.attempt)});
}

}  // namespace bamboodock
