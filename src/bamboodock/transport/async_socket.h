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

/// Error code or success of an operation on a socket.
using SocketError = boost::system::error_code;

/// Completion token that stores the error in place of an exception.
inline auto CaptureError(SocketError& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

inline asio::ip::tcp::endpoint ToEndpoint(const Address& address) {
  return {asio::ip::make_address(address.ip), address.port};
}

/// Sends small messages at once and finds a silent peer after about `silence`.
void ConfigureSocket(asio::ip::tcp::socket& socket, std::chrono::seconds silence);

/// Opens a connection within `timeout`.
asio::awaitable<SocketError> Connect(beast::tcp_stream& stream, Address address,
                                     std::chrono::milliseconds timeout);

}  // namespace bamboodock
