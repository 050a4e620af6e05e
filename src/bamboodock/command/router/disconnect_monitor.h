#pragma once

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <functional>
#include <utility>

#include "bamboodock/core/ref_counted.h"
#include "bamboodock/transport/async_socket.h"

namespace bamboodock {

/// Calls `on_close` on the network duty's thread when a caller closes its connection while its
/// request is served.
class DisconnectMonitor : public RefCounted<DisconnectMonitor> {
 public:
  DisconnectMonitor(asio::ip::tcp::socket& socket, std::function<void()> on_close)
      : socket_(socket), on_close_(std::move(on_close)) {}

  void Start() {
    socket_.async_wait(
        asio::ip::tcp::socket::wait_read,
        asio::bind_cancellation_slot(
            stop_.slot(), [self = Ref<DisconnectMonitor>(this)](const SocketError& error) {
              if (!error) self->OnReadable();
            }));
  }

  /// Must be called before the next read from the connection.
  void Stop() {
    stopped_ = true;
    stop_.emit(asio::cancellation_type::all);
  }

 private:
  void OnReadable() {
    if (stopped_) return;
    SocketError error;
    // Available bytes belong to a pipelined request; a close after them is detected when they are
    // read.
    if (socket_.available(error) > 0 && !error) return;
    on_close_();
  }

  asio::ip::tcp::socket& socket_;
  std::function<void()> on_close_;
  asio::cancellation_signal stop_;
  bool stopped_ = false;
};

}  // namespace bamboodock
