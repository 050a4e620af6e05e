#include "bamboodock/transport/response_receiver.h"

namespace bamboodock {

namespace http = boost::beast::http;

asio::awaitable<SocketError> ReceiveSome(beast::tcp_stream& stream, ResponseParser& parser) {
  SocketError error;
  const std::size_t size = co_await stream.async_read_some(parser.Prepare(), CaptureError(error));
  parser.Commit(size);
  co_return error;
}

asio::awaitable<SocketError> ReceiveHead(beast::tcp_stream& stream, ResponseParser& parser) {
  SocketError error = parser.ParseHead();
  while (error == http::error::need_more) {
    error = co_await ReceiveSome(stream, parser);
    if (!error) error = parser.ParseHead();
  }
  co_return error;
}

}  // namespace bamboodock
