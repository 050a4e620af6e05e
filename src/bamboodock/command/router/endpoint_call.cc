#include "bamboodock/command/router/endpoint_call.h"

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

constexpr std::uint32_t kMaxHeadSize = 32768;
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

}  // namespace

CallStatus EndpointCall::Classify(const SocketError& error) const {
  if (cancelled_) return CallStatus::kCancelled;
  if (error == beast::error::timeout) return CallStatus::kSilent;
  return CallStatus::kBroken;
}

void EndpointCall::Cancel() {
  cancelled_ = true;
  stream_.close();
}

asio::awaitable<CallStatus> EndpointCall::Open(Address endpoint,
                                               std::chrono::milliseconds timeout) {
  const SocketError error = co_await Connect(stream_, std::move(endpoint), timeout);
  if (cancelled_) co_return CallStatus::kCancelled;
  co_return error ? CallStatus::kUnreachable : CallStatus::kOk;
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
  SocketError error;
  co_await http::async_write(self->stream_, message, CaptureError(error));
  // Write errors are ignored: the endpoint may answer before it has read the whole request, and the
  // read of the answer reports a broken connection.
}

void EndpointCall::Send(Ref<const CallerRequest> request, std::vector<HttpHeader> added) {
  head_only_ = request->method == "HEAD";
  asio::co_spawn(stream_.get_executor(),
                 Write(Ref<EndpointCall>(this), std::move(request), std::move(added)),
                 asio::detached);
}

asio::awaitable<CallStatus> EndpointCall::AwaitBytes(std::chrono::milliseconds timeout) {
  if (buffer_.size() > 0) co_return CallStatus::kOk;
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
  do {
    parser_.emplace();
    parser_->header_limit(kMaxHeadSize);
    parser_->body_limit(boost::none);
    parser_->skip(head_only_);
    co_await http::async_read_header(stream_, buffer_, *parser_, CaptureError(error));
    if (error) {
      head.status = Classify(error);
      co_return head;
    }
    head.code = static_cast<int>(parser_->get().result_int());
  } while (head.code < kFirstFinalStatus);
  for (const auto& field : parser_->get()) {
    head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  co_return head;
}

asio::awaitable<BodyChunk> EndpointCall::Read(std::chrono::milliseconds timeout) {
  stream_.expires_after(timeout);
  BodyChunk chunk;
  while (!parser_->is_done()) {
    auto& body = parser_->get().body();
    body.data = read_buffer_.data();
    body.size = read_buffer_.size();
    body.more = true;
    SocketError error;
    co_await http::async_read_some(stream_, buffer_, *parser_, CaptureError(error));
    if (error == http::error::need_buffer) error = {};
    chunk.bytes.append(read_buffer_.data(), read_buffer_.size() - body.size);
    if (error) {
      chunk.status = Classify(error);
      co_return chunk;
    }
    if (!chunk.bytes.empty()) co_return chunk;
  }
  chunk.status = CallStatus::kEnd;
  co_return chunk;
}

}  // namespace bamboodock
