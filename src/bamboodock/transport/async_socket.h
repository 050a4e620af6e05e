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

/// How long the peer of a connection that this process has opened may be unresponsive.
inline constexpr std::chrono::seconds kPeerTimeout{2};

inline asio::ip::tcp::endpoint ToEndpoint(const Address& address) {
  return {asio::ip::make_address(address.ip), address.port};
}

/// Disables Nagle's algorithm and sets keep-alive so that a peer that answers no probes fails an
/// idle connection after `peer_timeout`, which must be 2 s or more.
///
/// Keep-alive does not probe while bytes are in flight. A `LivenessMonitor` or
/// `FailWhenUnacknowledged` covers that time.
void ConfigureSocket(asio::ip::tcp::socket& socket, std::chrono::seconds peer_timeout);

/// Fails the connection when bytes sent to the peer stay in flight or unread for `timeout`. Not for
/// peers that may read a long message late: the operating system does not tell them from lost ones.
void FailWhenUnacknowledged(asio::ip::tcp::socket& socket, std::chrono::seconds timeout);

/// Whether the connection was lost: reset, or given up by the operating system. False when the peer
/// has only ended its direction in order.
bool IsAborted(asio::ip::tcp::socket& socket);

/// Opens a connection and configures it with `kPeerTimeout`; fails unless it is open within
/// `timeout`. Leaves the stream without a deadline.
asio::awaitable<SocketError> Connect(beast::tcp_stream& stream, Address address,
                                     std::chrono::milliseconds timeout);

}  // namespace bamboodock
