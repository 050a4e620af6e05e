#include "bamboodock/standin/command/service_commands.h"

#include "bamboodock/standin/service_call.h"

namespace bamboodock::standin {

using nlohmann::json;

ServiceCommands& ServiceCommands::CallTime(Duration time) {
  call_time_ = time;
  return *this;
}

bool ServiceCommands::Handle(const HttpRequest& request, ResponseWriter& writer) {
  using Method = void (ServiceCommands::*)(const HttpRequest&, ResponseWriter&);
  static constexpr std::array kRoutes{
      Route<Method>{"POST", "/labels", &ServiceCommands::Issue},
      Route<Method>{"POST", "/orders", &ServiceCommands::Issue},
      Route<Method>{"POST", "/faults", &ServiceCommands::SetFault},
  };
  return Dispatch(*this, kRoutes, request, writer);
}

void ServiceCommands::Issue(const HttpRequest& request, ResponseWriter& writer) {
  const IdempotencyKey key{std::string(request.Header("Idempotency-Key"))};
  const Fault fault = faults_.TakeForWrite();
  ServeCall(fault, call_time_, limiter_, faults_, writer, [&]() -> json {
    const auto issue = duty_.Run([&] { return state_.Run(key); });
    if (!issue) return nullptr;
    json body = ParseBody(request);
    if (body.is_discarded()) body = request.body;
    return {{"number", issue->number.value()},
            {"runs", issue->runs.value()},
            {"body", std::move(body)}};
  });
}

void ServiceCommands::SetFault(const HttpRequest& request, ResponseWriter& writer) {
  const json body = ParseBody(request);
  if (!faults_.Set(body)) return SendError(writer, 400, "expected a fault mode");
  if (body.value("mode", "") == "cold") limiter_.TurnCold();
  SendJson(writer, 200, json::object());
}

}  // namespace bamboodock::standin
