#pragma once

#include <optional>
#include <string>

#include "bamboodock/transport/async_socket.h"
#include "bamboodock/transport/http_types.h"
#include "bamboodock/transport/response_parser.h"

namespace bamboodock {

/// Response, or the error that prevented it.
struct HttpExchangeResult {
  std::optional<HttpResponse> response;
  SocketError error;
};

/// Persistent connection to one server for sequential calls; used on one event loop only.
class AsyncHttpChannel {
 public:
  AsyncHttpChannel(asio::any_io_executor executor, Address server);

  /// Connects within 700 ms if necessary, sends the request and reads the whole response.
  ///
  /// `timeout` starts once the connection is open. A failed call closes the connection, since a
  /// late response must not be taken for that of the next call.
  asio::awaitable<HttpExchangeResult> Call(HttpRequest request, std::chrono::milliseconds timeout);

  /// Sets the server of the calls that follow; closes the connection if the server changes.
  void SetServer(Address server);
  void Close();

 private:
  /// Whether bytes have arrived that belong to no call.
  bool HasUnreadBytes();
  asio::awaitable<SocketError> Exchange(const HttpRequest& request, HttpResponse& response);
  asio::awaitable<SocketError> ReadBody(std::string& body);

  Address server_;
  beast::tcp_stream stream_;
  ResponseParser parser_{ResponseLimits()};
  bool open_ = false;
};

}  // namespace bamboodock
