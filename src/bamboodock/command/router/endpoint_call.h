#pragma once

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <string>
#include <vector>

#include "bamboodock/core/ref_counted.h"
#include "bamboodock/routing/caller_request.h"
#include "bamboodock/transport/async_socket.h"

namespace bamboodock {

/// How far a step of a call came.
enum class CallStatus : std::uint8_t {
  kOk,
  /// The body has ended as its framing says.
  kEnd,
  /// No connection could be opened; nothing was sent.
  kUnreachable,
  /// The connection broke or its bytes are not an answer.
  kBroken,
  /// Nothing arrived within the timeout.
  kSilent,
  /// `Cancel` was called.
  kCancelled,
};

/// Status line and headers of an answer, as received.
struct CallHead {
  CallStatus status = CallStatus::kOk;
  int code = 0;
  std::vector<HttpHeader> headers;
};

/// Some bytes of a body.
struct BodyChunk {
  CallStatus status = CallStatus::kOk;
  std::string bytes;
};

/// One request to one endpoint over a connection of its own.
///
/// A new connection costs a millisecond and rules out that bytes of another answer, a connection
/// that was closed meanwhile or one that has gone silent are met.
class EndpointCall : public RefCounted<EndpointCall> {
 public:
  explicit EndpointCall(const asio::any_io_executor& executor) : stream_(executor) {}

  asio::awaitable<CallStatus> Open(Address endpoint, std::chrono::milliseconds timeout);
  /// Starts to send the request. An endpoint may answer before it has taken the whole body.
  void Send(Ref<const CallerRequest> request, std::vector<HttpHeader> added);
  /// Waits for bytes of the answer and leaves the call as it is: `kSilent` when none came.
  asio::awaitable<CallStatus> AwaitBytes(std::chrono::milliseconds timeout);
  /// Reads the head of the answer; a timeout closes the connection.
  asio::awaitable<CallHead> ReadHead(std::chrono::milliseconds timeout);
  /// Reads what has arrived of the body, at least one byte unless it has ended.
  asio::awaitable<BodyChunk> Read(std::chrono::milliseconds timeout);
  /// Closes the connection; an endpoint drops the request when it sees this.
  void Cancel();

 private:
  using ResponseParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  CallStatus Classify(const SocketError& error) const;
  /// Sends the request; holds the call, since it may outlast the caller's wait for the answer.
  static asio::awaitable<void> Write(Ref<EndpointCall> self, Ref<const CallerRequest> request,
                                     std::vector<HttpHeader> added);

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<ResponseParser> parser_;
  std::array<char, 8192> read_buffer_{};
  bool cancelled_ = false;
  /// Whether the answer to come has no body, as its request has the method HEAD.
  bool head_only_ = false;
};

}  // namespace bamboodock
