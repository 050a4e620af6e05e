#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>
#include <utility>

#include "bamboodock/transport/address.h"

namespace bamboodock {

/// HTTP server on loopback that begins its answer when it has read the head of a request, and reads
/// the body only some time later. Serves one connection; its receive buffer is small, so that the
/// peer cannot send a long body before it is read.
class LateReadingServer {
 public:
  /// @param delay Time between the begin of the answer and the read of the body.
  /// @param begin Bytes sent before the delay.
  /// @param end Bytes sent after the whole body was read.
  LateReadingServer(std::chrono::milliseconds delay, std::string begin, std::string end)
      : delay_(delay), begin_(std::move(begin)), end_(std::move(end)), acceptor_(loop_) {
    constexpr int kReceiveBufferBytes = 16384;
    acceptor_.open(Tcp::v4());
    acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    acceptor_.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    acceptor_.listen();
    thread_ = std::thread([this] { Serve(); });
  }
  ~LateReadingServer() { thread_.join(); }

  Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

  /// Returns the body as it was read, once the connection has ended.
  std::string Body() {
    thread_.join();
    thread_ = std::thread([] {});
    return body_;
  }

 private:
  using Tcp = boost::asio::ip::tcp;

  void Serve() {
    boost::system::error_code error;
    Tcp::socket socket(loop_);
    acceptor_.accept(socket, error);
    std::string bytes;
    const std::size_t head =
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(bytes), "\r\n\r\n", error);
    boost::asio::write(socket, boost::asio::buffer(begin_), error);
    boost::asio::steady_timer(loop_, delay_).wait();
    const std::size_t size = ContentLength(bytes.substr(0, head));
    body_ = bytes.substr(head);
    if (body_.size() < size) {
      boost::asio::read(socket, boost::asio::dynamic_buffer(body_),
                        boost::asio::transfer_exactly(size - body_.size()), error);
    }
    if (!error) boost::asio::write(socket, boost::asio::buffer(end_), error);
    socket.shutdown(Tcp::socket::shutdown_send, error);
  }

  static std::size_t ContentLength(const std::string& head) {
    const std::string name = "Content-Length: ";
    return std::stoul(head.substr(head.find(name) + name.size()));
  }

  std::chrono::milliseconds delay_;
  std::string begin_;
  std::string end_;
  std::string body_;
  boost::asio::io_context loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

}  // namespace bamboodock
