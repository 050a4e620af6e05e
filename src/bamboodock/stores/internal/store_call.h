#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "bamboodock/transport/http_client.h"

namespace bamboodock::internal {

/// Calls of one HTTP part of the platform, with its failures told apart by what was applied.
class StoreCall {
 public:
  StoreCall(Address peer, Duration timeout) : http_(std::move(peer)), timeout_(timeout) {}

  /// Sends a read; every failure to get a whole response is `kStoreUnavailable`.
  Result<HttpResponse> Read(const std::string& path, const std::string& query) const;

  /// Sends a write; fails with `kStoreAnswerLost` when it may have been applied and
  /// `kStoreUnavailable` when it was not.
  Result<HttpResponse> Write(HttpRequest request) const;

  /// Text of a JSON document; fails with `kBadRequest` when a string is not UTF-8.
  static Result<std::string> Encode(const nlohmann::json& document);

  /// Document of a whole response; null when the body is not JSON.
  static nlohmann::json Parse(const HttpResponse& response);

 private:
  /// Result code `kOk` once `response` is whole.
  Failure Exchange(const HttpRequest& request, HttpResponse& response) const;

  HttpClient http_;
  Duration timeout_;
};

}  // namespace bamboodock::internal
