#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>
#include <utility>

#include "bamboodock/transport/address.h"

namespace bamboodock {

/// HTTP server on loopback that answers when it has read the head of a request, and ends the
/// connection while its peer still sends the body. Serves one connection; its receive buffer is
/// small, so that the peer cannot have sent a long body by then.
class UnreadUploadServer {
 public:
  /// How the server ends the connection.
  enum class Ending {
    /// With a reset.
    kReset,
    /// In order: the end of its direction follows the answer, the connection is closed later.
    kClose,
  };

  /// @param bytes Sent as the answer.
  UnreadUploadServer(Ending ending, std::string bytes)
      : ending_(ending), bytes_(std::move(bytes)), acceptor_(loop_) {
    constexpr int kReceiveBufferBytes = 16384;
    acceptor_.open(Tcp::v4());
    acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    acceptor_.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    acceptor_.listen();
    thread_ = std::thread([this] { Serve(); });
  }
  ~UnreadUploadServer() { thread_.join(); }

  Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

 private:
  using Tcp = boost::asio::ip::tcp;

  void Serve() {
    boost::system::error_code error;
    Tcp::socket socket(loop_);
    acceptor_.accept(socket, error);
    std::string head;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(head), "\r\n\r\n", error);
    boost::asio::write(socket, boost::asio::buffer(bytes_), error);
    if (ending_ == Ending::kClose) socket.shutdown(Tcp::socket::shutdown_send, error);
    // The peer's write is under way by then, and the peer waits in its read.
    constexpr std::chrono::milliseconds kDelay{300};
    boost::asio::steady_timer(loop_, kDelay).wait();
    if (ending_ == Ending::kReset) {
      socket.set_option(boost::asio::socket_base::linger(true, 0), error);
    }
    socket.close(error);
  }

  Ending ending_;
  std::string bytes_;
  boost::asio::io_context loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

}  // namespace bamboodock
