#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <condition_variable>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "bamboodock/transport/address.h"

namespace bamboodock {

/// HTTP server on loopback that answers each request with the bytes that the script returns.
///
/// Each connection is served on its own thread until an answer whose `then` is not `kKeep`.
class ScriptedServer {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  /// What the server does with the connection after the bytes of an answer.
  enum class ConnectionAction {
    kKeep,
    kClose,
    kReset,
    kWaitForPeer,
    /// Sends `Answer::more` again and again without a pause until the peer closes the connection.
    kSendEndlessly,
    /// The same with a pause after each part.
    kTrickle,
    /// Sends `Answer::more` once, after a second, and closes the connection.
    kFinishLater,
  };
  struct Answer {
    std::string bytes;
    ConnectionAction action = ConnectionAction::kClose;
    std::string more = {};
  };
  using Script = std::function<Answer(const Request& request, std::size_t number)>;

  explicit ScriptedServer(Script script)
      : script_(std::move(script)),
        acceptor_(loop_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        thread_([this] { AcceptAll(); }) {}

  ~ScriptedServer() {
    boost::system::error_code error;
    // A connection to its own port ends the blocking accept.
    stopping_ = true;
    boost::asio::ip::tcp::socket unblock(loop_);
    unblock.connect(acceptor_.local_endpoint(), error);
    thread_.join();
    for (Connection& connection : connections_) connection.thread.join();
  }

  Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

  std::vector<Request> requests() const {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

  /// Bytes of answers that peers have taken or that sockets hold.
  std::size_t bytes_sent() const { return bytes_sent_; }

  /// Waits until a peer has closed a connection left open by `kWaitForPeer`; false after `limit`.
  bool WaitForPeerClose(std::chrono::seconds limit) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, limit, [this] { return peer_closes_ > 0; });
  }

 private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Connection {
    std::thread thread;
    std::atomic<bool> has_ended{false};
  };

  void AcceptAll() {
    while (true) {
      Socket socket(loop_);
      boost::system::error_code error;
      acceptor_.accept(socket, error);
      if (stopping_ || error) return;
      JoinEnded();
      Connection& connection = connections_.emplace_back();
      connection.thread =
          std::thread([this, &connection, shared = std::make_shared<Socket>(std::move(socket))] {
            Serve(*shared);
            connection.has_ended = true;
          });
    }
  }

  /// A thread keeps its stack until it is joined, and a process can map only so many.
  void JoinEnded() {
    connections_.remove_if([](Connection& connection) {
      if (!connection.has_ended) return false;
      connection.thread.join();
      return true;
    });
  }

  void Serve(Socket& socket) {
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    while (true) {
      Request request;
      boost::beast::http::read(socket, buffer, request, error);
      if (error) return;
      std::size_t number = 0;
      {
        const std::lock_guard lock(mutex_);
        number = requests_.size();
        requests_.push_back(request);
      }
      const Answer answer = script_(request, number);
      Send(socket, answer.bytes, error);
      if (answer.action == ConnectionAction::kKeep) continue;
      if (answer.action == ConnectionAction::kWaitForPeer) WaitForPeer(socket);
      SendMore(socket, answer);
      if (answer.action == ConnectionAction::kReset) {
        // The destructor of the socket would take the option back.
        socket.set_option(boost::asio::socket_base::linger(true, 0), error);
        socket.close(error);
      } else {
        socket.shutdown(Socket::shutdown_send, error);
      }
      return;
    }
  }

  void Send(Socket& socket, const std::string& bytes, boost::system::error_code& error) {
    bytes_sent_ += boost::asio::write(socket, boost::asio::buffer(bytes), error);
  }

  void SendMore(Socket& socket, const Answer& answer) {
    constexpr std::chrono::milliseconds kTricklePause{20};
    constexpr std::chrono::seconds kFinishDelay{1};
    boost::system::error_code error;
    if (answer.action == ConnectionAction::kFinishLater) {
      std::this_thread::sleep_for(kFinishDelay);
      Send(socket, answer.more, error);
    }
    const bool trickles = answer.action == ConnectionAction::kTrickle;
    if (!trickles && answer.action != ConnectionAction::kSendEndlessly) return;
    while (!error && !stopping_) {
      Send(socket, answer.more, error);
      if (trickles) std::this_thread::sleep_for(kTricklePause);
    }
  }

  void WaitForPeer(Socket& socket) {
    char byte = 0;
    boost::system::error_code error;
    while (!error) socket.read_some(boost::asio::buffer(&byte, 1), error);
    const std::lock_guard lock(mutex_);
    ++peer_closes_;
    changed_.notify_all();
  }

  Script script_;
  boost::asio::io_context loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Request> requests_;
  int peer_closes_ = 0;
  std::atomic<std::size_t> bytes_sent_{0};
  std::atomic<bool> stopping_{false};
  std::list<Connection> connections_;
  std::thread thread_;
};

}  // namespace bamboodock
