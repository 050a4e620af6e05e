#pragma once

#include <functional>
#include <memory>
#include <string>

namespace bamboodock {

/// Outcome of one remote procedure call.
struct RpcOutcome {
  bool ok = false;
  /// JSON text of the result when `ok`.
  std::string result;
  /// JSON-RPC error code and message otherwise; `kTransportError` when no response came.
  int error_code = 0;
  std::string error_message;

  static constexpr int kTransportError = -32099;
};

/// Sends an encoded request and returns the encoded response; false when no response came.
using RpcTransport = std::function<bool(const std::string& request, std::string& response)>;

/// Handler of one method; takes the parameters and returns the result as JSON text.
using RpcMethod = std::function<std::string(const std::string& parameters)>;

/// Calls a method through libjsonrpccpp; `parameters` is the text of a JSON object.
RpcOutcome CallRpc(const RpcTransport& transport, const std::string& method,
                   const std::string& parameters);

/// Dispatches JSON-RPC requests to methods through libjsonrpccpp.
class RpcDispatcher {
 public:
  RpcDispatcher();
  ~RpcDispatcher();
  RpcDispatcher(const RpcDispatcher&) = delete;
  RpcDispatcher& operator=(const RpcDispatcher&) = delete;

  /// Registers a method; must be called before the first request.
  void Register(const std::string& name, RpcMethod method);
  /// Handles one encoded request. Any thread may call it.
  std::string Handle(const std::string& request);

 private:
  class Server;
  class Connector;
  std::unique_ptr<Connector> connector_;
  std::unique_ptr<Server> server_;
};

}  // namespace bamboodock
