#include "bamboodock/transport/response_parser.h"

#include <algorithm>

namespace bamboodock {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kReadSize = 16384;
/// Room for the bytes of a body that arrive with its head.
constexpr std::size_t kReadAhead = 65536;

}  // namespace

ResponseParser::ResponseParser(const ResponseLimits& limits)
    : limits_(limits), buffer_(limits.head.value() + kReadAhead) {}

void ResponseParser::Start(bool head_only) {
  head_only_ = head_only;
  interim_heads_ = 0;
  StartHead();
}

void ResponseParser::StartHead() {
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(limits_.head.value()));
  parser_->body_limit(boost::none);
  parser_->skip(head_only_);
}

boost::asio::mutable_buffer ResponseParser::Prepare() {
  return buffer_.prepare(std::min(buffer_.max_size() - buffer_.size(), kReadSize));
}

SocketError ResponseParser::NeedMore() const {
  if (buffer_.size() == buffer_.max_size()) return http::error::buffer_overflow;
  return http::error::need_more;
}

SocketError ResponseParser::ParseOneHead() {
  SocketError error;
  while (!parser_->is_header_done()) {
    if (buffer_.size() == 0) return NeedMore();
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (error == http::error::need_more) return NeedMore();
    if (error) return error;
  }
  head_.version = parser_->get().version();
  head_.status = static_cast<int>(parser_->get().result_int());
  head_.headers.clear();
  for (const auto& field : parser_->get()) {
    head_.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  return CheckResponseHead(head_);
}

SocketError ResponseParser::ParseHead() {
  while (true) {
    const SocketError error = ParseOneHead();
    if (error || !IsInterim(head_.status)) return error;
    if (++interim_heads_ > limits_.interim_heads) return http::error::header_limit;
    StartHead();
  }
}

SocketError ResponseParser::ParseBody(std::string& body) {
  SocketError error;
  while (!parser_->is_done()) {
    if (buffer_.size() == 0) return NeedMore();
    auto& part = parser_->get().body();
    part.data = body_buffer_.data();
    part.size = body_buffer_.size();
    part.more = true;
    buffer_.consume(parser_->put(buffer_.data(), error));
    body.append(body_buffer_.data(), body_buffer_.size() - part.size);
    if (error == http::error::need_more) return NeedMore();
    if (error && error != http::error::need_buffer) return error;
  }
  return {};
}

SocketError ResponseParser::OnConnectionEnd(const SocketError& send_error) {
  if (!parser_ || !parser_->is_header_done()) return http::error::partial_message;
  if (parser_->need_eof() && !IsOrderlyEnd(send_error)) return send_error;
  SocketError error;
  parser_->put_eof(error);
  return error;
}

bool IsLimitError(const SocketError& error) {
  return error == http::error::header_limit || error == http::error::body_limit ||
         error == http::error::buffer_overflow;
}

bool IsInvalidHttp(const SocketError& error) {
  static const boost::system::error_category& http_category =
      make_error_code(http::error::bad_version).category();
  return error.category() == http_category && error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

}  // namespace bamboodock
