#include "bamboodock/command/router/endpoint_call.h"

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <limits>
#include <utility>

#include "bamboodock/transport/response_receiver.h"

namespace bamboodock {
namespace {

namespace http = boost::beast::http;

/// Wait for readable bytes with a timeout; shared with the handler, which may run after the wait
/// has ended.
struct ByteWait : RefCounted<ByteWait> {
  explicit ByteWait(const asio::any_io_executor& executor) : timer(executor) {}

  asio::steady_timer timer;
  asio::cancellation_signal stop;
  bool ended = false;
};

}  // namespace

EndpointCall::EndpointCall(const asio::any_io_executor& executor, const AnswerLimits& limits)
    : write_end_(executor), stream_(executor), parser_({limits.head, limits.interim_heads}) {}

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
  // request. `OnConnectionEnd` decides whether such an answer is complete.
  self->write_ended_ = true;
  self->write_end_.cancel();
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
  parser_.Start(head_only_);
  CallHead head;
  const SocketError error = co_await ReceiveHead(stream_, parser_);
  if (error) {
    head.status = OnReadError(error);
    co_return head;
  }
  head.code = parser_.head().status;
  head.headers = parser_.head().headers;
  needs_more_ = !parser_.HasBytes() && !parser_.is_done();
  co_return head;
}

void EndpointCall::ParseBuffered(BodyChunk& chunk) {
  const SocketError error = parser_.ParseBody(chunk.bytes);
  needs_more_ = true;
  if (!error) {
    chunk.status = CallStatus::kEnd;
  } else if (error != http::error::need_more) {
    chunk.status = OnReadError(error);
  }
}

asio::awaitable<SocketError> EndpointCall::OnConnectionEnd(std::chrono::milliseconds timeout) {
  // The write of a request on a lost connection fails at once, but its handler may not have run
  // yet.
  if (!write_ended_ && IsAborted(stream_.socket())) {
    write_end_.expires_after(timeout);
    SocketError ignored;
    co_await write_end_.async_wait(CaptureError(ignored));
  }
  co_return parser_.OnConnectionEnd(trace_.write_error);
}

asio::awaitable<BodyChunk> EndpointCall::Read(std::chrono::milliseconds timeout) {
  BodyChunk chunk;
  if (!needs_more_) {
    ParseBuffered(chunk);
    co_return chunk;
  }
  stream_.expires_after(timeout);
  SocketError error = co_await ReceiveSome(stream_, parser_);
  ParseBuffered(chunk);
  if (!error || chunk.status != CallStatus::kOk) co_return chunk;
  if (error == asio::error::eof) {
    error = co_await OnConnectionEnd(timeout);
  }
  const bool ended = !error && !cancelled_;
  chunk.status = ended ? CallStatus::kEnd : OnReadError(error);
  co_return chunk;
}

}  // namespace bamboodock
