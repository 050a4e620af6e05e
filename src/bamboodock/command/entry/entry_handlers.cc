#include "bamboodock/command/entry/entry_handlers.h"

#include <array>

#include "bamboodock/codec/error_codec.h"
#include "bamboodock/transport/rpc_client.h"

namespace bamboodock {
namespace {

constexpr std::string_view kCommandsPrefix = "/commands/";

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

}  // namespace

void CallerHandler::Handle(const HttpRequest& request, ResponseWriter& writer) {
  struct Route {
    std::string_view prefix;
    void (CallerHandler::*method)(const HttpRequest&, ResponseWriter&);
  };
  static constexpr std::array kRoutes{
      Route{"/v1/chat/completions", &CallerHandler::Chat},
      Route{kServicesPrefix, &CallerHandler::Call},
      Route{kRequestsPrefix, &CallerHandler::Reattach},
  };
  for (const Route& route : kRoutes) {
    if (StartsWith(request.path, route.prefix)) return (this->*route.method)(request, writer);
  }
  if (StartsWith(request.path, "/queries/")) {
    return writer.Send(FailureResponse({ResultCode::kNotFound, "no such path"}));
  }
  writer.Send(queries_.Answer(request));
}

void CallerHandler::Chat(const HttpRequest& request, ResponseWriter& writer) {
  if (request.method == "POST") return chat_.Handle(request, writer);
  writer.Send(FailureResponse(
      {ResultCode::kMethodNotAllowed, "chat completions accept only the method POST"}));
}

void CallerHandler::Call(const HttpRequest& request, ResponseWriter& writer) {
  call_.Handle(request, writer);
}

void CallerHandler::Reattach(const HttpRequest& request, ResponseWriter& writer) {
  reattach_.Handle(request, writer);
}

void OperatorHandler::Handle(const HttpRequest& request, ResponseWriter& writer) {
  if (StartsWith(request.path, kCommandsPrefix)) return writer.Send(commands_.Answer(request));
  writer.Send(queries_.Answer(request));
}

void RpcHandler::Handle(const HttpRequest& request, ResponseWriter& writer) {
  if (request.path != kRpcPath) {
    return writer.Send(FailureResponse({ResultCode::kNotFound, "no such path"}));
  }
  writer.Send({200, {{"Content-Type", "application/json"}}, dispatcher_.Handle(request.body)});
}

}  // namespace bamboodock
