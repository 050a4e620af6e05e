#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>

#include "bamboodock/transport/address.h"

namespace bamboodock {

namespace asio = boost::asio;
namespace beast = boost::beast;

/// Result of a socket operation; false in a condition on success.
using SocketError = boost::system::error_code;

/// Completion token that stores the error in `error` instead of throwing it.
inline auto CaptureError(SocketError& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

inline asio::ip::tcp::endpoint ToEndpoint(const Address& address) {
  return {asio::ip::make_address(address.ip), address.port};
}

/// Disables Nagle's algorithm and sets keep-alive and `TCP_USER_TIMEOUT` so that an unresponsive
/// peer fails the connection after about `peer_timeout`.
void ConfigureSocket(asio::ip::tcp::socket& socket, std::chrono::seconds peer_timeout);

/// Opens and configures a connection; fails unless it is open within `timeout`. Leaves the stream
/// without a deadline.
asio::awaitable<SocketError> Connect(beast::tcp_stream& stream, Address address,
                                     std::chrono::milliseconds timeout);

}  // namespace bamboodock
