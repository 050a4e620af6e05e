#pragma once

#include <boost/intrusive/list.hpp>

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

/// One connection from a caller; serves its requests one at a time, in order.
class CallerConnection : public RefCounted<CallerConnection>,
                         public boost::intrusive::list_base_hook<
                             boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  CallerConnection(asio::ip::tcp::socket socket, NetworkServices& services,
                   const DrainPhase& phase);
  ~CallerConnection();

  /// Serves requests until the connection closes. Holds a reference to the connection meanwhile.
  static asio::awaitable<void> Run(Ref<CallerConnection> self);
  /// Closes the connection unless a request is being read or served.
  void CloseIfIdle();
  /// Whether a request is being read or served.
  bool busy() const { return busy_ || reader_.HasBytes(); }

 private:
  asio::awaitable<void> ServeAll();
  asio::awaitable<bool> Serve(CallerRead read);
  asio::awaitable<void> Reject(Failure refusal);

  beast::tcp_stream stream_;
  NetworkServices& services_;
  const DrainPhase& phase_;
  CallerReader reader_;
  bool busy_ = false;
};

/// Unordered list of connections; a connection unlinks itself when it is destroyed.
using CallerConnectionList =
    boost::intrusive::list<CallerConnection, boost::intrusive::constant_time_size<false>>;

}  // namespace bamboodock
