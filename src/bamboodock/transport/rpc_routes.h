#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "bamboodock/core/result.h"
#include "bamboodock/transport/rpc/rpc.h"

namespace bamboodock {

/// Registers member functions of handlers as JSON-RPC methods.
///
/// A failure is returned in the result as {"error": {"code", "detail"}}.
class RpcRoutes {
 public:
  explicit RpcRoutes(RpcDispatcher& dispatcher) : dispatcher_(dispatcher) {}

  /// Registers `method`; `handler` must outlive the dispatcher's last call.
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
