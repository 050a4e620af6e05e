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

/// Response whose body is read as it arrives.
class HttpStream {
 public:
  ~HttpStream();
  HttpStream(const HttpStream&) = delete;
  HttpStream& operator=(const HttpStream&) = delete;

  int status() const { return status_; }
  const std::vector<HttpHeader>& headers() const { return headers_; }

  /// Reads the next line, without its newline; false at the end of the body or on an error.
  bool ReadLine(std::string& line);
  /// Reads the rest of the body.
  ///
  /// Fails with `kBodyTooLarge` beyond `limit` and `kAnswerIncomplete` when the body is truncated.
  Result<std::string> ReadAll(Bytes limit);

 private:
  friend class HttpClient;
  HttpStream() = default;

  mg_connection* connection_ = nullptr;
  int status_ = 0;
  std::vector<HttpHeader> headers_;
  std::int64_t content_length_ = -1;
};

/// HTTP client of one peer, built on CivetWeb; each call opens its own connection.
class HttpClient {
 public:
  explicit HttpClient(Address peer) : peer_(std::move(peer)) {}

  const Address& peer() const { return peer_; }

  /// Sends a request and reads the whole response.
  ///
  /// Fails with `kConnectionFailed` when the connection or the write failed (run state `kNotRun`
  /// when nothing was sent) and with `kConnectionSilent` when no response headers came within
  /// `timeout`; a body fails as in `HttpStream::ReadAll`.
  Result<HttpResponse> Call(const HttpRequest& request, Duration timeout) const;

  /// Sends a request and returns once the response headers have been read; fails as `Call` does.
  Result<std::unique_ptr<HttpStream>> Open(const HttpRequest& request, Duration timeout) const;

 private:
  Address peer_;
};

}  // namespace bamboodock
