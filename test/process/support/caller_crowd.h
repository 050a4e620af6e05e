#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <string_view>
#include <vector>

#include "bamboodock/transport/address.h"

namespace bamboodock::process_test {

/// Many connections to one address that send what a test tells them and stay open.
class CallerCrowd {
 public:
  CallerCrowd(const Address& peer, std::size_t size);

  std::size_t size() const { return callers_.size(); }
  /// Sends the bytes on one connection. Stops early when the peer has closed the connection, or
  /// reads nothing for a while; returns whether all were sent.
  bool Send(std::size_t caller, std::string_view bytes);
  /// Number of connections that the peer has not closed.
  std::size_t CountOpen();

 private:
  boost::asio::io_context loop_;
  std::vector<boost::asio::ip::tcp::socket> callers_;
};

}  // namespace bamboodock::process_test
