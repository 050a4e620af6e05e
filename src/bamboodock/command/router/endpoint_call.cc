#include "bamboodock/command/router/endpoint_call.h"

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <limits>
#include <utility>

namespace bamboodock {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kReadSize = 16384;
/// Room for the bytes of a body that arrive with its head.
constexpr std::size_t kReadAhead = 65536;

/// Wait for readable bytes with a timeout; shared with the handler, which may run after the wait
/// has ended.
struct ByteWait : RefCounted<ByteWait> {
  explicit ByteWait(const asio::any_io_executor& executor) : timer(executor) {}

  asio::steady_timer timer;
  asio::cancellation_signal stop;
  bool ended = false;
};

/// Lower status codes are interim answers (1xx), which precede the final one.
constexpr int kFirstFinalStatus = 200;

/// Whether the answer exceeded a limit of the parser or of the buffer.
bool IsLimitError(const SocketError& error) {
  return error == http::error::header_limit || error == http::error::body_limit ||
         error == http::error::buffer_overflow;
}

/// Whether the error is about the bytes received, not about the connection.
bool IsInvalidHttp(const SocketError& error) {
  static const boost::system::error_category& http_category =
      make_error_code(http::error::bad_version).category();
  return error.category() == http_category && error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

}  // namespace

EndpointCall::EndpointCall(const asio::any_io_executor& executor, const AnswerLimits& limits)
    : limits_(limits), stream_(executor), buffer_(limits.head.value() + kReadAhead) {}

CallStatus EndpointCall::OnReadError(const SocketError& error) {
  if (cancelled_) return CallStatus::kCancelled;
  trace_.read_error = lost_ ? SocketError(asio::error::timed_out) : error;
  if (error == beast::error::timeout) return CallStatus::kSilent;
  if (IsLimitError(error)) return CallStatus::kTooLarge;
  if (IsInvalidHttp(error)) return CallStatus::kInvalid;
  return CallStatus::kBroken;
}

EndpointCall::~EndpointCall() {
  if (liveness_) liveness_->Stop();
}

void EndpointCall::Cancel() {
  cancelled_ = true;
  stream_.close();
}

void EndpointCall::OnLost() {
  lost_ = true;
  stream_.close();
}

asio::awaitable<CallStatus> EndpointCall::Open(Address endpoint,
                                               std::chrono::milliseconds timeout) {
  const SocketError error = co_await Connect(stream_, std::move(endpoint), timeout);
  if (cancelled_) co_return CallStatus::kCancelled;
  if (error) co_return CallStatus::kUnreachable;
  liveness_ = MakeRef<LivenessMonitor>(stream_.socket(), kPeerTimeout, [this] { OnLost(); });
  liveness_->Start();
  co_return CallStatus::kOk;
}

asio::awaitable<void> EndpointCall::Write(Ref<EndpointCall> self, Ref<const CallerRequest> request,
                                          std::vector<HttpHeader> added) {
  http::request<http::span_body<const char>> message;
  message.method_string(request->method);
  message.target(request->target);
  message.version(11);
  for (const HttpHeader& header : request->headers) message.insert(header.name, header.value);
  for (const HttpHeader& header : added) message.insert(header.name, header.value);
  message.body() = {request->body.data(), request->body.size()};
  const bool has_body = !request->body.empty() || request->method == "POST" ||
                        request->method == "PUT" || request->method == "PATCH";
  if (has_body) message.content_length(request->body.size());
  http::request_serializer<http::span_body<const char>> serializer(message);
  CallTrace& trace = self->trace_;
  while (!serializer.is_done() && !trace.write_error) {
    // A read sets the deadline of both directions while no write is under way.
    self->stream_.expires_never();
    const std::size_t size =
        co_await http::async_write_some(self->stream_, serializer, CaptureError(trace.write_error));
    trace.sent += Bytes(size);
  }
  trace.sent_whole = serializer.is_done();
  if (self->cancelled_) trace.write_error = {};
  // A write error does not end the call: the endpoint may have answered without reading the whole
  // request, and the read of the answer reports a broken connection.
}

void EndpointCall::Send(Ref<const CallerRequest> request, std::vector<HttpHeader> added) {
  head_only_ = request->method == "HEAD";
  asio::co_spawn(stream_.get_executor(),
                 Write(Ref<EndpointCall>(this), std::move(request), std::move(added)),
                 asio::detached);
}

asio::awaitable<CallStatus> EndpointCall::AwaitBytes(std::chrono::milliseconds timeout) {
  if (!needs_more_) co_return CallStatus::kOk;
  auto wait = MakeRef<ByteWait>(stream_.get_executor());
  wait->timer.expires_after(timeout);
  stream_.socket().async_wait(
      asio::ip::tcp::socket::wait_read,
      asio::bind_cancellation_slot(wait->stop.slot(), [wait](const SocketError&) {
        // Errors are reported by the read that follows.
        wait->ended = true;
        wait->timer.cancel();
      }));
  SocketError error;
  co_await wait->timer.async_wait(CaptureError(error));
  if (!wait->ended) wait->stop.emit(asio::cancellation_type::all);
  if (cancelled_) co_return CallStatus::kCancelled;
  co_return wait->ended ? CallStatus::kOk : CallStatus::kSilent;
}

asio::awaitable<CallHead> EndpointCall::ReadHead(std::chrono::milliseconds timeout) {
  stream_.expires_after(timeout);
  CallHead head;
  SocketError error;
  std::uint32_t heads = 0;
  do {
    if (heads++ > limits_.interim_heads) {
      head.status = CallStatus::kTooLarge;
      co_return head;
    }
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.head.value()));
    parser_->body_limit(boost::none);
    parser_->skip(head_only_);
    co_await http::async_read_header(stream_, buffer_, *parser_, CaptureError(error));
    if (error) {
      head.status = OnReadError(error);
      co_return head;
    }
    head.code = static_cast<int>(parser_->get().result_int());
  } while (head.code < kFirstFinalStatus);
  for (const auto& field : parser_->get()) {
    head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  needs_more_ = buffer_.size() == 0 && !parser_->is_done();
  co_return head;
}

void EndpointCall::ParseBuffered(BodyChunk& chunk) {
  SocketError error;
  while (!parser_->is_done() && buffer_.size() > 0 && !error) {
    auto& body = parser_->get().body();
    body.data = read_buffer_.data();
    body.size = read_buffer_.size();
    body.more = true;
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (error == http::error::need_buffer) error = {};
    chunk.bytes.append(read_buffer_.data(), read_buffer_.size() - body.size);
  }
  needs_more_ = true;
  if (parser_->is_done()) {
    chunk.status = CallStatus::kEnd;
  } else if (error && error != http::error::need_more) {
    chunk.status = OnReadError(error);
  }
}

asio::awaitable<BodyChunk> EndpointCall::Read(std::chrono::milliseconds timeout) {
  BodyChunk chunk;
  if (!needs_more_) {
    ParseBuffered(chunk);
    co_return chunk;
  }
  const std::size_t room = buffer_.max_size() - buffer_.size();
  if (room == 0) {
    chunk.status = CallStatus::kTooLarge;
    co_return chunk;
  }
  stream_.expires_after(timeout);
  SocketError error;
  const std::size_t size = co_await stream_.async_read_some(
      buffer_.prepare(std::min(room, kReadSize)), CaptureError(error));
  buffer_.commit(size);
  ParseBuffered(chunk);
  if (!error || chunk.status != CallStatus::kOk) co_return chunk;
  if (error == asio::error::eof) {
    // The end of the connection ends a body without framing.
    error = {};
    parser_->put_eof(error);
  }
  chunk.status = error ? OnReadError(error) : CallStatus::kEnd;
  co_return chunk;
}

}  // namespace bamboodock
