#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "bamboodock/transport/http_client.h"

namespace bamboodock::internal {

/// HTTP client of one platform service; its errors state whether a write may have been applied.
class StoreClient {
 public:
  StoreClient(Address peer, Duration timeout) : http_(std::move(peer)), timeout_(timeout) {}

  /// Sends a read; fails with `kStoreUnavailable` unless a whole response with a status below 500
  /// comes.
  Result<HttpResponse> Read(const std::string& path, const std::string& query) const;

  /// Sends a write.
  ///
  /// Fails with `kStoreAnswerLost` when it may have been applied and `kStoreUnavailable` when it
  /// was not, which includes status 503.
  Result<HttpResponse> Write(HttpRequest request) const;

  /// Encodes a JSON document; fails with `kBadRequest` when a string is not UTF-8.
  static Result<std::string> Encode(const nlohmann::json& document);

  /// Decodes the body of a response; null when it is not JSON.
  static nlohmann::json Parse(const HttpResponse& response);

 private:
  /// Sends a request; the result has code `kOk` when `response` is whole.
  Failure Exchange(const HttpRequest& request, HttpResponse& response) const;

  HttpClient http_;
  Duration timeout_;
};

}  // namespace bamboodock::internal
