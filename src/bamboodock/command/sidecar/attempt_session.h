#pragma once

#include <memory>

#include "bamboodock/codec/attempt_message.h"
#include "bamboodock/command/sidecar/admission_duty.h"
#include "bamboodock/command/sidecar/sender_duty.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock {

/// Connection from one entry: decodes its messages and posts them to the admission duty.
class AttemptSession final : public MessageSession {
 public:
  AttemptSession(MessageSender& sender, const IncarnationId& incarnation, AdmissionDuty& admission,
                 HybridClock& clock);
  ~AttemptSession() override;

  void OnMessage(std::string_view message) override;

 private:
  void Post(AttemptStartMessage message);
  void Post(AttemptResumeMessage message);
  void Post(AttemptCancelMessage message);

  AdmissionDuty& admission_;
  HybridClock& clock_;
  Ref<SenderDuty> sender_;
};

/// Opens a session for each connection of an entry.
class AttemptSessionFactory final : public MessageSessionFactory {
 public:
  AttemptSessionFactory(IncarnationId incarnation, AdmissionDuty& admission, HybridClock& clock)
      : incarnation_(std::move(incarnation)), admission_(admission), clock_(clock) {}

  std::unique_ptr<MessageSession> Open(MessageSender& sender) override {
    return std::make_unique<AttemptSession>(sender, incarnation_, admission_, clock_);
  }

 private:
  IncarnationId incarnation_;
  AdmissionDuty& admission_;
  HybridClock& clock_;
};

}  // namespace bamboodock
