#pragma once

#include "bamboodock/transport/async_socket.h"
#include "bamboodock/transport/response_parser.h"

namespace bamboodock {

/// Receives some bytes for the parser.
asio::awaitable<SocketError> ReceiveSome(beast::tcp_stream& stream, ResponseParser& parser);

/// Receives bytes until the head of the final response is complete; `parser` must have been
/// started. The deadline of the stream holds.
asio::awaitable<SocketError> ReceiveHead(beast::tcp_stream& stream, ResponseParser& parser);

}  // namespace bamboodock
