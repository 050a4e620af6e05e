#include "bamboodock/transport/rpc_routes.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace bamboodock {

void RpcRoutes::Register(const std::string& name, Method method) {
  dispatcher_.Register(name, [method = std::move(method)](const std::string& text) {
    using Json = nlohmann::json;
    const Json parameters = Json::parse(text, nullptr, false);
    const Json result = HandleFailure(
        [&]() -> Result<Json> { return method(parameters); },
        [](const Failure& failure) {
          return Json{{"error", {{"code", Name(failure.code)}, {"detail", failure.detail}}}};
        });
    return result.dump(-1, ' ', false, Json::error_handler_t::replace);
  });
}

}  // namespace bamboodock
