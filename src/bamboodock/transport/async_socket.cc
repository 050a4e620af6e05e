#include "bamboodock/transport/async_socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bamboodock {
namespace {

/// Sets a socket option. A failure is ignored, since the options only reduce latency and speed up
/// failure detection.
void SetOption(int descriptor, int level, int name, int value) {
  static_cast<void>(setsockopt(descriptor, level, name, &value, sizeof(value)));
}

}  // namespace

void ConfigureSocket(asio::ip::tcp::socket& socket, std::chrono::seconds peer_timeout) {
  constexpr int kIdleSeconds = 1;
  const int descriptor = socket.native_handle();
  const int probes = static_cast<int>(peer_timeout.count()) - kIdleSeconds;
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kIdleSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, probes);
}

void FailWhenUnacknowledged(asio::ip::tcp::socket& socket, std::chrono::seconds timeout) {
  const std::chrono::milliseconds limit(timeout);
  SetOption(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit.count()));
}

bool IsAborted(asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return false;
  return info.tcpi_state == TCP_CLOSE;
}

asio::awaitable<SocketError> Connect(beast::tcp_stream& stream, Address address,
                                     std::chrono::milliseconds timeout) {
  SocketError error;
  stream.expires_after(timeout);
  co_await stream.async_connect(ToEndpoint(address), CaptureError(error));
  // The deadline is that of the connect alone: a write that sets none must not inherit it.
  stream.expires_never();
  if (!error) ConfigureSocket(stream.socket(), kPeerTimeout);
  co_return error;
}

}  // namespace bamboodock
