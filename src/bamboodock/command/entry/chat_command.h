#pragma once

#include "bamboodock/codec/chat_codec.h"
#include "bamboodock/command/entry/request_run.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock {

/// `POST /v1/chat/completions`, streamed or whole.
class ChatCommand {
 public:
  explicit ChatCommand(RequestContext& context) : context_(context) {}

  void Handle(const HttpRequest& request, ResponseWriter& writer);

 private:
  struct Chat;

  Result<bool> Run(const HttpRequest& request, ResponseWriter& writer);
  Result<RoutingCriteria> CriteriaFor(const HttpRequest& request, const ChatRequest& chat,
                                      const ClientAccountId& account) const;
  /// Checks a buffered answer; true when a better step must follow.
  bool Escalates(Chat& chat, const StepResult& step);
  void Finish(Chat& chat, const StepResult& step, ResponseWriter& writer);
  Failure FailureOf(const StepResult& step) const;

  RequestContext& context_;
};

}  // namespace bamboodock
