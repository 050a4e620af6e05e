#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <optional>
#include <string_view>

#include "bamboodock/core/clock.h"
#include "bamboodock/core/failure.h"
#include "bamboodock/routing/caller_request.h"
#include "bamboodock/routing/route.h"
#include "bamboodock/routing/wire_protocol.h"
#include "bamboodock/transport/async_socket.h"

namespace bamboodock {

/// Request read from a caller, or why there is none.
struct CallerRead {
  /// Null when the connection ended or the bytes are refused.
  Ref<const CallerRequest> request;
  bool keep_alive = true;
  /// Reason of a refusal; `kOk` when the connection has ended.
  Failure refusal{ResultCode::kOk, "", RunState::kNotRun, {}};
};

/// Checks what a parser does not: bare line ends, folded lines, zero bytes.
/// @return Empty when the head is well formed, else the reason.
std::string_view FindHeadError(std::string_view head);

/// Reads requests from one caller connection and accepts only unambiguous framing.
///
/// A request whose length two parsers could see differently might hide a second one, so it is
/// refused and never repaired.
class CallerReader {
 public:
  CallerReader(beast::tcp_stream& stream, const WireProtocol& protocol, const Clock& clock)
      : stream_(stream), protocol_(protocol), clock_(clock) {}

  asio::awaitable<CallerRead> Read(CallerLimits limits);
  /// Whether part of a request has arrived.
  bool HasBytes() const { return buffer_.size() > 0; }

 private:
  asio::awaitable<CallerRead> ReadHead(const CallerLimits& limits, std::size_t& head_size);
  std::size_t FindHeadEnd();
  asio::awaitable<SocketError> ReadMore(Duration timeout);

  beast::tcp_stream& stream_;
  const WireProtocol& protocol_;
  const Clock& clock_;
  beast::flat_buffer buffer_;
};

}  // namespace bamboodock
