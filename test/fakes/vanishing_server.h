#pragma once

#include <linux/filter.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <string>
#include <thread>
#include <utility>

#include "bamboodock/transport/address.h"

namespace bamboodock {

/// HTTP server on loopback that begins its answer when it has read the head of a request, and then
/// acknowledges nothing any more, as a host does that has lost its power. Serves one connection.
class VanishingServer {
 public:
  /// @param begin Bytes sent before the server vanishes.
  explicit VanishingServer(std::string begin)
      : begin_(std::move(begin)),
        acceptor_(loop_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        thread_([this] { Serve(); }) {}
  ~VanishingServer() {
    stop_.set_value();
    thread_.join();
  }

  Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

 private:
  void Serve() {
    boost::system::error_code error;
    boost::asio::ip::tcp::socket socket(loop_);
    acceptor_.accept(socket, error);
    std::string bytes;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(bytes), "\r\n\r\n", error);
    boost::asio::write(socket, boost::asio::buffer(begin_), error);
    DropAllSegments(socket.native_handle());
    stop_.get_future().wait();
  }

  /// Has the operating system drop each segment that arrives at the socket.
  static void DropAllSegments(int descriptor) {
    sock_filter accept_nothing = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program{1, &accept_nothing};
    static_cast<void>(
        setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)));
  }

  std::string begin_;
  std::promise<void> stop_;
  boost::asio::io_context loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

}  // namespace bamboodock
