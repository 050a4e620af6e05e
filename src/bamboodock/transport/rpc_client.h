#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "bamboodock/core/result.h"
#include "bamboodock/transport/http_client.h"

namespace bamboodock {

/// Path of the JSON-RPC endpoint of every process.
inline constexpr const char* kRpcPath = "/rpc";

/// Caller of JSON-RPC methods at one peer.
class RpcClient {
 public:
  explicit RpcClient(Address peer) : http_(std::move(peer)) {}

  const Address& peer() const { return http_.peer(); }

  /// Calls a method with named parameters.
  ///
  /// Fails with `kConnectionFailed` or `kConnectionSilent` when no answer came, `kBadMessage` when
  /// the peer reports a JSON-RPC error.
  Result<nlohmann::json> Call(const std::string& method, const nlohmann::json& parameters,
                              Duration timeout) const;

 private:
  HttpClient http_;
};

}  // namespace bamboodock
