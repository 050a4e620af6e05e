#pragma once

#include "bamboodock/standin/answer.h"
#include "bamboodock/standin/chat_request.h"
#include "bamboodock/standin/engine_duty.h"
#include "bamboodock/standin/fault_injector.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock::standin {

/// Routes of the stand-in engine that generate answers or change its state.
class EngineCommands {
 public:
  EngineCommands(EngineDuty& duty, FaultInjector& faults, Seed seed)
      : duty_(duty), faults_(faults), seed_(seed) {}

  /// Handles the request when one of the routes matches; false when none does.
  bool Handle(const HttpRequest& request, ResponseWriter& writer);

 private:
  void Chat(const HttpRequest& request, ResponseWriter& writer);
  void Order(const HttpRequest& request, ResponseWriter& writer);
  void SetFault(const HttpRequest& request, ResponseWriter& writer);
  Answer GenerateAnswer(const ChatRequest& chat) const;
  /// Streams the tokens of a generation as server-sent events.
  void StreamCompletion(const ChatRequest& chat, const Fault& fault,
                        const Ref<Generation>& generation, ResponseWriter& writer);
  /// Sends the answer as one JSON body once the generation is complete.
  void SendCompletion(const ChatRequest& chat, const Fault& fault,
                      const Ref<Generation>& generation, ResponseWriter& writer);
  /// Cancels the generation, then holds the connection silent (freeze) or closes it (cut).
  void InterruptAnswer(const Fault& fault, const Ref<Generation>& generation,
                       ResponseWriter& writer);
  /// Closes the event ring of the generation and cancels it in the engine.
  void Cancel(const Ref<Generation>& generation);

  EngineDuty& duty_;
  FaultInjector& faults_;
  Seed seed_;
};

}  // namespace bamboodock::standin
