#include "bamboodock/standin/routes.h"

#include <charconv>

namespace bamboodock::standin {

std::uint64_t NumberParameter(const HttpRequest& request, const std::string& name,
                              std::uint64_t default_value) {
  const std::string text = request.QueryParameter(name);
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc{} && end == text.data() + text.size() ? value : default_value;
}

nlohmann::json ParseBody(const HttpRequest& request) {
  return nlohmann::json::parse(request.body, nullptr, false);
}

void SendJson(ResponseWriter& writer, int status, const nlohmann::json& body) {
  HttpResponse response;
  response.status = status;
  response.headers = {{"Content-Type", "application/json"}};
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  writer.Send(response);
}

void SendError(ResponseWriter& writer, int status, std::string_view message) {
  SendJson(writer, status, {{"error", {{"message", message}, {"code", status}}}});
}

}  // namespace bamboodock::standin
