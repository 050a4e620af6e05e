#pragma once

#include <string>
#include <vector>

#include "bamboodock/core/failure.h"
#include "bamboodock/routing/answer_head.h"
#include "bamboodock/transport/async_socket.h"

namespace bamboodock {

/// Writes one answer to a caller.
class AnswerWriter {
 public:
  explicit AnswerWriter(beast::tcp_stream& stream) : stream_(stream) {}

  /// Whether the connection stays open after this answer; set before the first write.
  void set_keep_alive(bool keep_alive) { keep_alive_ = keep_alive; }
  bool keep_alive() const { return keep_alive_; }

  /// Sends a whole answer of an endpoint; false when the caller cannot be reached.
  asio::awaitable<bool> Send(AnswerHead head, std::string body, bool head_only);
  /// Sends an answer of the router itself.
  asio::awaitable<bool> SendRefusal(Failure failure);

  /// Starts an answer of unknown length.
  asio::awaitable<bool> Begin(AnswerHead head);
  asio::awaitable<bool> Write(std::string part);
  /// Ends the answer as complete; without it the caller sees that the answer is cut.
  asio::awaitable<bool> End();
  bool begun() const { return begun_; }

 private:
  beast::tcp_stream& stream_;
  bool keep_alive_ = true;
  bool begun_ = false;
};

}  // namespace bamboodock
