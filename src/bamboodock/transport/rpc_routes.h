#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "bamboodock/core/result.h"
#include "bamboodock/transport/rpc/rpc.h"

namespace bamboodock {

/// Registers a member of `handler` as a JSON-RPC method.
///
/// A failure is answered as {"error": {"code", "detail"}} in the result.
class RpcRoutes {
 public:
  explicit RpcRoutes(RpcDispatcher& dispatcher) : dispatcher_(dispatcher) {}

  template <class Handler>
  void Add(const std::string& name, Handler& handler,
           Result<nlohmann::json> (Handler::*method)(const nlohmann::json&)) {
    Register(name, [&handler, method](const nlohmann::json& parameters) {
      return (handler.*method)(parameters);
    });
  }

 private:
  using Method = std::function<Result<nlohmann::json>(const nlohmann::json&)>;
  void Register(const std::string& name, Method method);

  RpcDispatcher& dispatcher_;
};

}  // namespace bamboodock
