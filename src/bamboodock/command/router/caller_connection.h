#pragma once

#include <boost/intrusive/list.hpp>
#include <functional>

#include "bamboodock/command/router/caller_reader.h"
#include "bamboodock/command/router/network_services.h"
#include "bamboodock/command/router/request_exchange.h"

namespace bamboodock {

/// Phase of a graceful shutdown.
enum class DrainPhase : std::uint8_t {
  kOpen,
  /// Requests are served, and each answer closes its connection.
  kDraining,
  /// Requests are refused as not run, since they might not finish before the process exits.
  kClosed,
};

/// State of a graceful shutdown, shared by all connections.
struct DrainState {
  DrainPhase phase = DrainPhase::kOpen;
  /// Called when a connection has served its last request.
  std::function<void()> on_connection_end;
};

/// One connection from a caller; serves its requests one at a time, in order.
class CallerConnection : public RefCounted<CallerConnection>,
                         public boost::intrusive::list_base_hook<
                             boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  CallerConnection(asio::ip::tcp::socket socket, NetworkServices& services, HeldMemory& memory,
                   const DrainState& drain);
  ~CallerConnection();

  /// Serves requests until the connection closes. Holds a reference to the connection meanwhile.
  static asio::awaitable<void> Run(Ref<CallerConnection> self);
  /// Has the answer in progress announce that the connection closes, unless it has begun.
  void OnDrain() {
    if (writer_ != nullptr) writer_->set_keep_alive(false);
  }
  /// Closes the connection unless a request is being read or served.
  void CloseIfIdle();
  /// Ends the request that is being served with a refusal or a truncated stream. A request that is
  /// still being read is dropped.
  void Abort();
  /// Whether a request is being read or served.
  bool busy() const { return !ended_ && (busy_ || reader_.reading_body() || reader_.HasBytes()); }
  /// Closes the connection to admit another one.
  void Evict();
  /// Whether no request is being served and the head of the next one has not been read.
  bool evictable() const { return !ended_ && !evicted_ && !busy_ && !reader_.reading_body(); }

 private:
  asio::awaitable<void> ServeAll();
  asio::awaitable<bool> Serve(CallerRead read);
  asio::awaitable<void> Reject(Failure refusal);

  beast::tcp_stream stream_;
  NetworkServices& services_;
  HeldMemory& memory_;
  const DrainState& drain_;
  CallerReader reader_;
  /// Request that is being served; null between requests.
  RequestExchange* exchange_ = nullptr;
  /// Writer of its answer.
  AnswerWriter* writer_ = nullptr;
  bool busy_ = false;
  bool evicted_ = false;
  bool ended_ = false;
};

/// List of connections; a connection unlinks itself when it is destroyed.
using CallerConnectionList =
    boost::intrusive::list<CallerConnection, boost::intrusive::constant_time_size<false>>;

}  // namespace bamboodock
