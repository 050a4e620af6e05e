#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "bamboodock/core/units.h"
#include "bamboodock/transport/response_rule.h"

namespace bamboodock {

/// What a `ResponseParser` keeps in memory at most, beside the bodies that it returns.
struct ResponseLimits {
  /// Status line and fields of one head.
  Bytes head{32768};
  /// Interim (1xx) heads before the final one.
  std::uint32_t interim_heads = 8;
};

/// Parses the responses of one connection; does no I/O itself.
///
/// All clients of this project read responses with it, so that one rule (`CheckResponseHead`) holds
/// for all of them. A caller receives bytes into `Prepare` and `Commit` for as long as a step
/// returns `need_more` of `boost::beast::http::error`. After any other error the connection must be
/// closed: what follows on it belongs to no response.
class ResponseParser {
 public:
  explicit ResponseParser(const ResponseLimits& limits);

  /// Begins the next response. Bytes that were received already belong to it.
  ///
  /// @param head_only Whether the request method is HEAD, so that the response has no body.
  void Start(bool head_only = false);
  /// Drops all bytes received; to be called when the connection is closed.
  void Clear() { buffer_.clear(); }

  /// Room for received bytes; never empty after a step that returned `need_more`.
  boost::asio::mutable_buffer Prepare();
  /// Adds bytes that were received into the buffer of `Prepare`.
  void Commit(std::size_t size) { buffer_.commit(size); }

  /// Reads the head of the final response and skips interim ones.
  SocketError ParseHead();
  /// Appends the bytes of the body that have been received; no error once the body is complete.
  SocketError ParseBody(std::string& body);
  /// Tells that the peer has ended the connection; no error when that completes the response.
  ///
  /// @param send_error Error with which the write of the request ended, if it did.
  SocketError OnConnectionEnd(const SocketError& send_error);

  /// Head of the final response, after `ParseHead`.
  const ResponseHead& head() const { return head_; }
  /// Whether the body has a length or chunks; without them it ends with the connection.
  bool HasFraming() const { return parser_ && !parser_->need_eof(); }
  /// Whether the connection may carry another response.
  bool keep_alive() const { return parser_ && parser_->keep_alive(); }
  /// Whether bytes were received that have not been parsed.
  bool HasBytes() const { return buffer_.size() > 0; }
  bool is_done() const { return parser_ && parser_->is_done(); }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  void StartHead();
  SocketError ParseOneHead();
  /// Asks for more bytes if there is room for them.
  SocketError NeedMore() const;

  ResponseLimits limits_;
  bool head_only_ = false;
  std::uint32_t interim_heads_ = 0;
  /// Also holds the framing of a chunk, which a peer may extend without end.
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  ResponseHead head_;
  std::array<char, 8192> body_buffer_{};
};

/// Whether a response exceeded a limit of its parser.
bool IsLimitError(const SocketError& error);

/// Whether the error is about the bytes received, not about the connection.
bool IsInvalidHttp(const SocketError& error);

}  // namespace bamboodock
