#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <optional>
#include <string>

#include "bamboodock/transport/async_socket.h"
#include "bamboodock/transport/http_types.h"

namespace bamboodock {

/// Response, or the error that kept it away.
struct HttpExchangeResult {
  std::optional<HttpResponse> response;
  SocketError error;
};

/// Kept connection to one server for calls that follow each other; owned by one event loop.
class AsyncHttpChannel {
 public:
  AsyncHttpChannel(asio::any_io_executor executor, Address server);

  /// Opens the connection when there is none, sends the request and reads the whole response.
  ///
  /// A connection on which a call failed is closed, since a late response must not be taken for
  /// that of the next call.
  asio::awaitable<HttpExchangeResult> Call(HttpRequest request, std::chrono::milliseconds timeout);

  /// Uses another server from the next call on.
  void SetServer(Address server);
  void Close();

 private:
  asio::awaitable<SocketError> Exchange(const HttpRequest& request, HttpResponse& response,
                                        bool& keep_alive);

  Address server_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  bool open_ = false;
};

}  // namespace bamboodock
