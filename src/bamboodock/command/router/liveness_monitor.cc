#include "bamboodock/command/router/liveness_monitor.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <optional>
#include <utility>

namespace bamboodock {
namespace {

/// Returns the state of the acknowledgements; empty when the socket is closed.
std::optional<AckState> ReadAckState(asio::ip::tcp::socket& socket) {
  if (!socket.is_open()) return std::nullopt;
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return std::nullopt;
  }
  return AckState{info.tcpi_retransmits, info.tcpi_probes,
                  std::chrono::milliseconds(info.tcpi_last_ack_recv)};
}

}  // namespace

LivenessMonitor::LivenessMonitor(asio::ip::tcp::socket& socket, Duration timeout,
                                 std::function<void()> on_lost)
    : socket_(socket),
      liveness_(timeout),
      on_lost_(std::move(on_lost)),
      timer_(socket.get_executor()) {}

void LivenessMonitor::Start() {
  timer_.expires_after(ConnectionLiveness::kCheckInterval);
  timer_.async_wait([self = Ref<LivenessMonitor>(this)](const SocketError& error) {
    if (!error && !self->stopped_) self->Check();
  });
}

void LivenessMonitor::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void LivenessMonitor::Check() {
  const std::optional<AckState> state = ReadAckState(socket_);
  if (!state) return;
  if (liveness_.Observe(*state)) {
    on_lost_();
    return;
  }
  Start();
}

}  // namespace bamboodock
