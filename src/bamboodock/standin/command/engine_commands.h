#pragma once

#include "bamboodock/standin/answer.h"
#include "bamboodock/standin/chat_request.h"
#include "bamboodock/standin/engine_duty.h"
#include "bamboodock/standin/fault_injector.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock::standin {

/// Routes of the stand-in engine that make it work or change it.
class EngineCommands {
 public:
  EngineCommands(EngineDuty& duty, FaultInjector& faults, Seed seed)
      : duty_(duty), faults_(faults), seed_(seed) {}

  /// False when no route fits.
  bool Handle(const HttpRequest& request, ResponseWriter& writer);

 private:
  void Chat(const HttpRequest& request, ResponseWriter& writer);
  void Order(const HttpRequest& request, ResponseWriter& writer);
  void SetFault(const HttpRequest& request, ResponseWriter& writer);
  Answer GenerateAnswer(const ChatRequest& chat) const;
  /// Writes the events of a generation as they come.
  void StreamCompletion(const ChatRequest& chat, const Fault& fault,
                        const Ref<Generation>& generation, ResponseWriter& writer);
  /// Writes the answer once it is complete.
  void SendCompletion(const ChatRequest& chat, const Fault& fault,
                      const Ref<Generation>& generation, ResponseWriter& writer);
  /// Acts out a freeze or a cut.
  void InterruptAnswer(const Fault& fault, const Ref<Generation>& generation,
                       ResponseWriter& writer);
  void Cancel(const Ref<Generation>& generation);

  EngineDuty& duty_;
  FaultInjector& faults_;
  Seed seed_;
};

}  // namespace bamboodock::standin
