#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "bamboodock/core/result.h"
#include "bamboodock/core/units.h"
#include "bamboodock/transport/address.h"
#include "bamboodock/transport/async_socket.h"
#include "bamboodock/transport/http_types.h"
#include "bamboodock/transport/response_parser.h"

namespace bamboodock {

/// Response whose body is read as it arrives.
///
/// Its calls block; the connection is driven by an event loop that runs only during them.
class HttpStream {
 public:
  HttpStream(const HttpStream&) = delete;
  HttpStream& operator=(const HttpStream&) = delete;

  int status() const { return parser_.head().status; }
  const std::vector<HttpHeader>& headers() const { return parser_.head().headers; }

  /// Reads the next line, without its newline; false at the end of the body, on an error, when no
  /// bytes arrive for 30 s or when the line is longer than `kMaxLine`.
  bool ReadLine(std::string& line);
  /// Reads the rest of the body.
  ///
  /// Fails with `kBodyTooLarge` beyond `limit` and `kAnswerIncomplete` when the body is truncated,
  /// not valid HTTP, or no bytes arrive for 30 s.
  Result<std::string> ReadAll(Bytes limit);

  /// Longest line that `ReadLine` returns.
  static constexpr Bytes kMaxLine{262144};

 private:
  friend class HttpClient;
  HttpStream() = default;

  SocketError Connect(const Address& peer);
  /// Sends the request, as far as the peer takes it. A peer may answer and end the connection
  /// before it has read the whole request, so an error is kept for the end of the response.
  void Send(const std::string& request, Duration timeout);
  SocketError ReadHead(bool head_only, Duration timeout);
  /// Appends the next bytes of the body to `body_`; no error once it is complete.
  SocketError ReadBody();
  /// Runs the event loop until the operation has ended; returns its result.
  SocketError Run(asio::awaitable<SocketError> operation);

  boost::asio::io_context loop_{1};
  beast::tcp_stream stream_{loop_};
  ResponseParser parser_{ResponseLimits()};
  SocketError send_error_;
  /// Bytes of the body that were read but not returned.
  std::string body_;
};

/// HTTP client of one peer; each call opens its own connection.
class HttpClient {
 public:
  explicit HttpClient(Address peer) : peer_(std::move(peer)) {}

  const Address& peer() const { return peer_; }

  /// Sends a request and reads the whole response.
  ///
  /// Fails with `kConnectionFailed` (run state `kNotRun`) when no connection could be opened, and
  /// with run state `kUnknown` otherwise: with `kConnectionSilent` when no response head came
  /// within `timeout` or the connection was lost, with `kBadMessage` when the bytes received are
  /// not valid HTTP. A body fails as in `HttpStream::ReadAll`.
  Result<HttpResponse> Call(const HttpRequest& request, Duration timeout) const;

  /// Sends a request and returns once the response head has been read; fails as `Call` does.
  Result<std::unique_ptr<HttpStream>> Open(const HttpRequest& request, Duration timeout) const;

 private:
  Address peer_;
};

}  // namespace bamboodock
