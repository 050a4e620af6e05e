#pragma once

#include <boost/intrusive/list.hpp>

#include "bamboodock/command/router/caller_reader.h"
#include "bamboodock/command/router/network_services.h"
#include "bamboodock/command/router/request_exchange.h"

namespace bamboodock {

/// How far a stop of the process has come.
enum class DrainPhase : std::uint8_t {
  kOpen,
  /// Callers are asked to leave; requests are still served.
  kDraining,
  /// Requests are refused "not run", since they might not end before the process does.
  kClosed,
};

/// One connection of a caller; serves its requests one after another.
class CallerConnection : public RefCounted<CallerConnection>,
                         public boost::intrusive::list_base_hook<
                             boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  CallerConnection(asio::ip::tcp::socket socket, NetworkServices& services,
                   const DrainPhase& phase);
  ~CallerConnection();

  /// Serves the connection until it ends; holds it meanwhile.
  static asio::awaitable<void> Run(Ref<CallerConnection> self);
  /// Closes the connection if no request is being read or served.
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

/// Connections in no particular order; one leaves the list when it is destroyed.
using CallerConnectionList =
    boost::intrusive::list<CallerConnection, boost::intrusive::constant_time_size<false>>;

}  // namespace bamboodock
