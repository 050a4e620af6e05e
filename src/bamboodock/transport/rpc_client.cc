#include "bamboodock/transport/rpc_client.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "bamboodock/transport/rpc/rpc.h"

namespace bamboodock {

Result<nlohmann::json> RpcClient::Call(const std::string& method, const nlohmann::json& parameters,
                                       Duration timeout) const {
  Failure transport_failure{ResultCode::kConnectionFailed, "no RPC response with status 200"};
  const RpcTransport transport = [&](const std::string& request, std::string& response) {
    return HandleFailure(
        [&]() -> Result<bool> {
          HttpRequest http;
          http.method = "POST";
          http.path = kRpcPath;
          http.headers = {{"Content-Type", "application/json"}};
          http.body = request;
          BOOST_LEAF_AUTO(reply, http_.Call(http, timeout));
          response = std::move(reply.body);
          return reply.status == 200;
        },
        [&](const Failure& failure) {
          transport_failure = failure;
          return false;
        });
  };
  const RpcOutcome outcome = CallRpc(transport, method, parameters.dump());
  if (outcome.ok) {
    nlohmann::json result = nlohmann::json::parse(outcome.result, nullptr, false);
    const auto error = result.find("error");
    if (error == result.end()) return result;
    return Raise(ResultCodeFromName(error->value("code", "")), error->value("detail", ""));
  }
  if (outcome.error_code == RpcOutcome::kTransportError) return Raise(transport_failure);
  return Raise(ResultCode::kBadMessage, method + ": " + outcome.error_message);
}

}  // namespace bamboodock
