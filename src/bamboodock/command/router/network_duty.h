#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "bamboodock/command/router/caller_connection.h"
#include "bamboodock/command/router/network_services.h"
#include "bamboodock/command/router/pending_plan.h"
#include "bamboodock/transport/ring_inbox.h"

namespace bamboodock {

/// Duty that owns all sockets to callers and endpoints.
///
/// Forwarded bytes never leave its thread. Decisions arrive from the planning duty through a ring.
class NetworkDuty {
 public:
  NetworkDuty(const Address& callers, const Address& readiness, NetworkServices services);
  ~NetworkDuty() { Stop(); }

  void Start();
  /// Reports not ready and closes each connection after its next answer. Any thread may call it.
  void BeginDrain();
  /// Stops accepting connections, refuses further requests as not run and closes idle connections.
  /// Any thread may call it.
  ///
  /// Runs as one step on the duty's thread, so that no request is read and then dropped.
  void CloseIdle();
  /// Ends the requests that are still open: callers without an answer are refused, begun streams
  /// end truncated. Any thread may call it, after `CloseIdle`.
  void AbortOpen();
  /// Waits until no connection has a request after `CloseIdle`; false after `limit`.
  bool AwaitIdle(Duration limit);
  void Stop();

  /// Any thread may call it; false when the ring is full.
  bool Post(PlannedAttempt planned) { return inbox_.TryPush(std::move(planned)); }
  /// Port on which callers are served.
  std::uint16_t caller_port() const { return caller_acceptor_.local_endpoint().port(); }
  std::uint64_t open_requests() const { return services_.counters.open_requests; }

 private:
  asio::awaitable<void> AcceptCallers();
  asio::awaitable<void> AcceptReadiness();
  asio::awaitable<void> ServeReadiness(asio::ip::tcp::socket socket);
  /// Closes a connection without a request in progress; false when there is none.
  bool EvictConnection();
  bool IsReady() const;
  void NotifyIfIdle();

  /// The coroutines that the loop destroys with itself use the two members before it.
  NetworkServices services_;
  HeldMemory memory_;
  asio::io_context loop_{1};
  RingInbox<PlannedAttempt> inbox_;
  asio::ip::tcp::acceptor caller_acceptor_;
  asio::ip::tcp::acceptor readiness_acceptor_;
  DrainState drain_;
  /// In the order in which they were accepted.
  CallerConnectionList connections_;
  std::mutex idle_mutex_;
  std::condition_variable idle_changed_;
  bool idle_ = false;
  std::thread thread_;
};

}  // namespace bamboodock
