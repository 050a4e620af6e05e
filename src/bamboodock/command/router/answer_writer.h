#pragma once

#include <string>
#include <vector>

#include "bamboodock/core/failure.h"
#include "bamboodock/routing/answer_head.h"
#include "bamboodock/transport/async_socket.h"

namespace bamboodock {

/// Writes one HTTP answer to a caller. Used on the network duty's thread only.
class AnswerWriter {
 public:
  /// How long a caller may accept no bytes before it is dropped.
  static constexpr std::chrono::seconds kWriteTimeout{10};

  explicit AnswerWriter(beast::tcp_stream& stream,
                        std::chrono::milliseconds write_timeout = kWriteTimeout)
      : stream_(stream), write_timeout_(write_timeout) {}

  /// Whether the connection stays open after this answer; set before the first write.
  void set_keep_alive(bool keep_alive) { keep_alive_ = keep_alive; }
  bool keep_alive() const { return keep_alive_; }

  /// Sends a complete answer with its length; returns false when the write fails or times out. With
  /// `head_only`, the answer to a HEAD request, no Content-Length is added.
  asio::awaitable<bool> Send(AnswerHead head, std::string body, bool head_only);
  /// Sends the router's own error answer: status, code and name of the failure, and Retry-After if
  /// the failure has a delay. Returns false when the write fails.
  asio::awaitable<bool> SendRefusal(Failure failure);

  /// Sends the head of a chunked answer; returns false when the write fails.
  asio::awaitable<bool> Begin(AnswerHead head);
  asio::awaitable<bool> Write(std::string part);
  /// Sends the last chunk. Without it the caller can tell that the answer is truncated.
  asio::awaitable<bool> End();
  bool begun() const { return begun_; }

 private:
  beast::tcp_stream& stream_;
  std::chrono::milliseconds write_timeout_;
  bool keep_alive_ = true;
  bool begun_ = false;
};

}  // namespace bamboodock
