#pragma once

#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "bamboodock/transport/http_server.h"

namespace bamboodock::standin {

/// Entry of a table of member pointers; a path that ends in '/' matches all paths below it.
template <class Method>
struct Route {
  std::string_view method;
  std::string_view path;
  Method handle;
};

/// Calls the member of the first route that matches; false when none does.
template <class Handlers, class Method, std::size_t kCount>
bool Dispatch(Handlers& handlers, const std::array<Route<Method>, kCount>& routes,
              const HttpRequest& request, ResponseWriter& writer) {
  for (const Route<Method>& route : routes) {
    const bool in_subtree = route.path.back() == '/' && request.path.starts_with(route.path);
    if (request.method != route.method || (request.path != route.path && !in_subtree)) continue;
    (handlers.*route.handle)(request, writer);
    return true;
  }
  return false;
}

/// Part of the path after the last '/'.
inline std::string LastPathSegment(const HttpRequest& request) {
  return request.path.substr(request.path.rfind('/') + 1);
}

/// Value of a numeric query parameter; `default_value` when it is missing or not a number.
std::uint64_t NumberParameter(const HttpRequest& request, const std::string& name,
                              std::uint64_t default_value);

/// Body as JSON; a discarded value when it is not valid JSON.
nlohmann::json ParseBody(const HttpRequest& request);

void SendJson(ResponseWriter& writer, int status, const nlohmann::json& body);
void SendError(ResponseWriter& writer, int status, std::string_view message);

/// HTTP handler of a role: health check, then its commands, then its queries.
template <class Commands, class Queries>
class RoleHandler final : public HttpHandler {
 public:
  RoleHandler(Commands& commands, const Queries& queries)
      : commands_(commands), queries_(queries) {}

  void Handle(const HttpRequest& request, ResponseWriter& writer) override {
    if (request.path == "/healthz") return SendJson(writer, 200, {{"status", "ok"}});
    if (commands_.Handle(request, writer) || queries_.Handle(request, writer)) return;
    SendError(writer, 404, "no route for this method and path");
  }

 private:
  Commands& commands_;
  const Queries& queries_;
};

}  // namespace bamboodock::standin
