#pragma once

#include "bamboodock/codec/chat_codec.h"
#include "bamboodock/command/entry/request_run.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock {

/// Handles `POST /v1/chat/completions`; the answer is streamed or sent as one JSON body.
class ChatCommand {
 public:
  explicit ChatCommand(RequestContext& context) : context_(context) {}

  void Handle(const HttpRequest& request, ResponseWriter& writer);

 private:
  struct ChatState;

  Result<bool> Run(const HttpRequest& request, ResponseWriter& writer);
  Result<RoutingCriteria> CriteriaFor(const HttpRequest& request, const ChatRequest& chat,
                                      const ClientAccountId& account) const;
  /// Checks a buffered answer; true when it is rejected and the request escalates to the next step.
  bool ShouldEscalate(ChatState& chat, const StepResult& step);
  void Finish(ChatState& chat, const StepResult& step, ResponseWriter& writer);

  RequestContext& context_;
};

}  // namespace bamboodock
