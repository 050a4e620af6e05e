#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "bamboodock/core/ref_counted.h"
#include "bamboodock/policy/connection_liveness.h"
#include "bamboodock/transport/async_socket.h"

namespace bamboodock {

/// Calls `on_lost` once, on the network duty's thread, when the other end of a connection no longer
/// acknowledges what is sent to it. Keep-alive probes detect a lost end while nothing is sent.
class LivenessMonitor : public RefCounted<LivenessMonitor> {
 public:
  /// @param timeout How long an end that should acknowledge may be silent.
  LivenessMonitor(asio::ip::tcp::socket& socket, Duration timeout, std::function<void()> on_lost);

  void Start();
  /// Must be called before the socket is destroyed.
  void Stop();

 private:
  void Check();

  asio::ip::tcp::socket& socket_;
  ConnectionLiveness liveness_;
  std::function<void()> on_lost_;
  asio::steady_timer timer_;
  bool stopped_ = false;
};

}  // namespace bamboodock
