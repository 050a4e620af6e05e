#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "bamboodock/core/result.h"
#include "bamboodock/transport/http_client.h"

namespace bamboodock {

/// URL path of JSON-RPC in every process.
inline constexpr const char* kRpcPath = "/rpc";

/// JSON-RPC client of one peer.
class RpcClient {
 public:
  explicit RpcClient(Address peer) : http_(std::move(peer)) {}

  const Address& peer() const { return http_.peer(); }

  /// Calls a method with named parameters.
  ///
  /// Fails with the error of `HttpClient::Call` or `kConnectionFailed` when no response with status
  /// 200 came, `kBadMessage` when the peer reports a JSON-RPC error, and the code in the result's
  /// `error` when the method failed.
  Result<nlohmann::json> Call(const std::string& method, const nlohmann::json& parameters,
                              Duration timeout) const;

 private:
  HttpClient http_;
};

}  // namespace bamboodock
