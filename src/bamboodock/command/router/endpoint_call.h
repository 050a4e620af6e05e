#pragma once

#include <boost/asio/steady_timer.hpp>
#include <string>
#include <vector>

#include "bamboodock/command/router/answer_limits.h"
#include "bamboodock/command/router/liveness_monitor.h"
#include "bamboodock/core/ref_counted.h"
#include "bamboodock/routing/caller_request.h"
#include "bamboodock/transport/async_socket.h"
#include "bamboodock/transport/response_parser.h"

namespace bamboodock {

/// Result of one step of a call.
enum class CallStatus : std::uint8_t {
  kOk,
  /// The body is complete according to its framing.
  kEnd,
  /// No connection could be opened; nothing was sent.
  kUnreachable,
  /// The connection was lost, or closed before the answer was complete.
  kBroken,
  /// The bytes received are not valid HTTP.
  kInvalid,
  /// Nothing arrived within the timeout.
  kSilent,
  /// The answer exceeds one of `AnswerLimits`.
  kTooLarge,
  /// The entry has no memory left for the answer.
  kNoMemory,
  /// `Cancel` was called.
  kCancelled,
};

/// Status line and headers of an answer, as received.
struct CallHead {
  CallStatus status = CallStatus::kOk;
  int code = 0;
  std::vector<HttpHeader> headers;
};

/// Part of a body.
struct BodyChunk {
  CallStatus status = CallStatus::kOk;
  std::string bytes;
};

/// How far a request was sent and why its connection ended, for log lines.
struct CallTrace {
  /// Bytes of the request, head included, that the operating system has accepted.
  Bytes sent;
  /// Whether these are the whole request.
  bool sent_whole = false;
  /// Why the rest was not sent; none as long as the write goes on.
  SocketError write_error;
  /// Why the answer could not be read further.
  SocketError read_error;
};

/// One request to one endpoint over a dedicated connection.
///
/// Connections are not pooled: a new one costs about a millisecond and cannot carry bytes of
/// another answer, nor be closed or unresponsive already.
class EndpointCall : public RefCounted<EndpointCall> {
 public:
  EndpointCall(const asio::any_io_executor& executor, const AnswerLimits& limits);
  ~EndpointCall();

  /// Connects to the endpoint; returns `kUnreachable` on an error or timeout.
  asio::awaitable<CallStatus> Open(Address endpoint, std::chrono::milliseconds timeout);
  /// Starts sending the request and returns at once. The endpoint may answer before it has read the
  /// whole body; the write has no timeout of its own and ends with the call. The connection is lost
  /// when the endpoint acknowledges nothing for `kPeerTimeout`, not when it reads nothing.
  void Send(Ref<const CallerRequest> request, std::vector<HttpHeader> added);
  /// Waits until `Read` or `ReadHead` would not block; returns `kSilent` on a timeout and keeps the
  /// connection open.
  asio::awaitable<CallStatus> AwaitBytes(std::chrono::milliseconds timeout);
  /// Reads the head of the answer, skipping interim (1xx) ones; a timeout closes the connection.
  asio::awaitable<CallHead> ReadHead(std::chrono::milliseconds timeout);
  /// Reads the available bytes of the body. They may be none if only framing has arrived.
  asio::awaitable<BodyChunk> Read(std::chrono::milliseconds timeout);
  const CallTrace& trace() const { return trace_; }
  /// Whether the body has a length or chunks; without them it ends with the connection.
  bool HasFraming() const { return parser_.HasFraming(); }
  /// Closes the connection, on which the endpoint aborts the request.
  void Cancel();

 private:
  void OnLost();
  /// Records the error of a read and returns the status that it means.
  CallStatus OnReadError(const SocketError& error);
  /// Parses the bytes received and adds those of the body to `chunk`.
  void ParseBuffered(BodyChunk& chunk);
  /// Handles the end of the connection; no error when it completes the answer.
  asio::awaitable<SocketError> OnConnectionEnd(std::chrono::milliseconds timeout);
  /// Sends the request. Holds a reference to the call, since the write may outlive the wait for the
  /// answer.
  static asio::awaitable<void> Write(Ref<EndpointCall> self, Ref<const CallerRequest> request,
                                     std::vector<HttpHeader> added);

  CallTrace trace_;
  /// Cancelled when the write of the request ends.
  asio::steady_timer write_end_;
  bool write_ended_ = false;
  beast::tcp_stream stream_;
  Ref<LivenessMonitor> liveness_;
  ResponseParser parser_;
  /// Whether the parser has used all that it can of the bytes received. Some may be left in the
  /// buffer, such as the line end of a chunk.
  bool needs_more_ = true;
  bool cancelled_ = false;
  /// Whether the connection was closed since the endpoint acknowledges nothing.
  bool lost_ = false;
  /// Whether the request method is HEAD, so that the answer has no body.
  bool head_only_ = false;
};

}  // namespace bamboodock
