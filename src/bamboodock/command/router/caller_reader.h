#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <string_view>

#include "bamboodock/command/router/held_memory.h"
#include "bamboodock/core/clock.h"
#include "bamboodock/core/failure.h"
#include "bamboodock/routing/caller_request.h"
#include "bamboodock/routing/route.h"
#include "bamboodock/routing/wire_protocol.h"
#include "bamboodock/transport/async_socket.h"

namespace bamboodock {

/// Request read from a caller, or the reason why there is none.
struct CallerRead {
  /// Null when the connection ended or the request was refused.
  Ref<const CallerRequest> request;
  bool keep_alive = true;
  /// Reason for a refusal; `kOk` when there is a request or the connection has ended.
  Failure refusal{ResultCode::kOk, "", RunState::kNotRun, {}};
};

/// Checks what the HTTP parser accepts but may be ambiguous: bare CR or LF, folded header lines,
/// NUL bytes.
/// @return Empty when the request head is well formed, otherwise the reason.
std::string_view FindHeadError(std::string_view head);

/// Reads requests from one caller connection and accepts only unambiguous framing.
///
/// If two parsers can disagree about the length of a request, it may smuggle a second one, so such
/// a request is refused and never repaired.
///
/// The bytes of a request are claimed from the memory of the network duty before they are parsed,
/// and stay claimed until the next request is read or the reader is destroyed. Without room for
/// them the request is refused as not run.
class CallerReader final : public Upload {
 public:
  CallerReader(beast::tcp_stream& stream, const WireProtocol& protocol, const Clock& clock,
               HeldMemory& memory)
      : Upload(memory.budget()),
        stream_(stream),
        protocol_(protocol),
        clock_(clock),
        memory_(memory) {}

  /// Reads the next request. Waits up to 1.3 times the idle timeout for its first byte, then up to
  /// the header timeout for its head and 10 s for its body.
  asio::awaitable<CallerRead> Read(CallerLimits limits);
  /// Whether unread bytes of a request have arrived.
  bool HasBytes() const { return buffer_.size() > 0; }
  /// Whether the body of a request is being read, some of which may have been parsed already.
  bool reading_body() const { return reading_body_; }
  void GiveUp() override;

 private:
  using RequestParser = beast::http::request_parser<beast::http::string_body>;

  asio::awaitable<CallerRead> ReadHead(const CallerLimits& limits, std::size_t& head_size);
  asio::awaitable<CallerRead> ReadBody(const CallerLimits& limits, std::size_t head_size,
                                       RequestParser& parser);
  /// Parses what is buffered; returns whether some of it was used. Bytes that the parser does not
  /// use, which are trailers or a chunk extension, may reach the limit of a head.
  bool ParseBody(const CallerLimits& limits, RequestParser& parser, SocketError& error);
  /// Waits for further bytes of a body. Those that had arrived when the body was given up are read,
  /// since they may be its end.
  asio::awaitable<SocketError> ReadMoreBody(MonotonicTime deadline);
  CallerRead RefuseForMemory();
  std::size_t FindHeadEnd();
  asio::awaitable<SocketError> ReadMore(Duration timeout);

  beast::tcp_stream& stream_;
  const WireProtocol& protocol_;
  const Clock& clock_;
  HeldMemory& memory_;
  beast::flat_buffer buffer_;
  bool reading_body_ = false;
  bool given_up_ = false;
};

}  // namespace bamboodock
