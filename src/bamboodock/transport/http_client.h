#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "bamboodock/core/result.h"
#include "bamboodock/core/units.h"
#include "bamboodock/transport/address.h"
#include "bamboodock/transport/http_types.h"

struct mg_connection;

namespace bamboodock {

/// Body of a response that is read while it arrives.
class HttpStream {
 public:
  ~HttpStream();
  HttpStream(const HttpStream&) = delete;
  HttpStream& operator=(const HttpStream&) = delete;

  int status() const { return status_; }
  const std::vector<HttpHeader>& headers() const { return headers_; }

  /// Reads up to and without the next newline; false at the end of the body or on an error.
  bool ReadLine(std::string& line);
  /// Reads the rest of the body, at most `limit` bytes.
  Result<std::string> ReadAll(Bytes limit);

 private:
  friend class HttpClient;
  HttpStream() = default;

  mg_connection* connection_ = nullptr;
  int status_ = 0;
  std::vector<HttpHeader> headers_;
  std::int64_t content_length_ = -1;
};

/// CivetWeb client for one peer; each call uses a connection of its own.
class HttpClient {
 public:
  explicit HttpClient(Address peer) : peer_(std::move(peer)) {}

  const Address& peer() const { return peer_; }

  /// Sends a request and reads the whole response.
  ///
  /// Fails with `kConnectionFailed` when nothing was sent, `kConnectionSilent` when the request was
  /// sent and no whole response came within `timeout`.
  Result<HttpResponse> Call(const HttpRequest& request, Duration timeout) const;

  /// Sends a request and returns once the response headers are there; failures as for `Call`.
  Result<std::unique_ptr<HttpStream>> Open(const HttpRequest& request, Duration timeout) const;

 private:
  Address peer_;
};

}  // namespace bamboodock
