#include "bamboodock/command/router/caller_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace bamboodock {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::size_t kReadSize = 16384;
/// Time limit for the whole request body.
constexpr std::chrono::seconds kBodyTimeout{10};
/// Idle connections stay open a little longer than the configured timeout, so that a request that
/// is sent just in time does not race with the close.
constexpr double kIdleFactor = 1.3;
/// Uploads that are old enough to be given up make room by then.
constexpr std::chrono::milliseconds kRetryAfterMemory = UploadQueue::kMinAge;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

CallerRead Refused(ResultCode code, std::string detail) {
  return {nullptr, false, Failure{code, std::move(detail), RunState::kNotRun, {}}};
}

CallerRead Ended() {
  CallerRead read;
  read.keep_alive = false;
  return read;
}

std::string_view BufferText(const beast::flat_buffer& buffer) {
  const auto data = buffer.data();
  return {static_cast<const char*>(data.data()), data.size()};
}

/// Reason to refuse the framing of a parsed request head; empty when it is accepted.
std::string_view FindFramingError(const http::request<http::string_body>& head) {
  if (head.count(http::field::host) != 1) return "expected exactly one Host header";
  if (head.count(http::field::content_length) > 1) return "more than one Content-Length header";
  const bool encoded = head.count(http::field::transfer_encoding) > 0;
  if (encoded && head.count(http::field::content_length) > 0) return "conflicting framing headers";
  if (encoded && (head.count(http::field::transfer_encoding) > 1 ||
                  !boost::algorithm::iequals(head[http::field::transfer_encoding], "chunked"))) {
    return "expected the single transfer encoding chunked";
  }
  if (head.target().empty() || head.target().front() != '/') return "target must begin with '/'";
  return {};
}

std::string HostName(std::string_view header) {
  std::string host(header.substr(0, header.rfind(':')));
  boost::algorithm::to_lower(host);
  return host;
}

ResultCode BodyErrorCode(const SocketError& error) {
  if (error == http::error::body_limit) return ResultCode::kBodyTooLarge;
  if (error == http::error::header_limit) return ResultCode::kHeaderTooLarge;
  if (error == beast::error::timeout) return ResultCode::kHeaderTimeout;
  return ResultCode::kBadRequest;
}

/// Whether the error means that the caller has disconnected, so that no answer can be delivered.
bool IsDisconnect(const SocketError& error) {
  return error.category() == asio::error::get_system_category() || error == asio::error::eof ||
         error == http::error::end_of_stream || error == http::error::partial_message;
}

}  // namespace

std::string_view FindHeadError(std::string_view head) {
  for (std::size_t i = 0; i < head.size(); ++i) {
    const char c = head[i];
    if (c == '\0') return "NUL byte";
    if (c == '\n' && (i == 0 || head[i - 1] != '\r')) return "LF without CR";
    if (c == '\r' && (i + 1 == head.size() || head[i + 1] != '\n')) return "CR without LF";
    const bool folded =
        c == '\n' && i + 1 < head.size() && (head[i + 1] == ' ' || head[i + 1] == '\t');
    if (folded) return "folded header line";
  }
  return {};
}

asio::awaitable<SocketError> CallerReader::ReadMore(Duration timeout) {
  SocketError error;
  stream_.expires_after(std::chrono::duration_cast<std::chrono::milliseconds>(timeout));
  const std::size_t size =
      co_await stream_.async_read_some(buffer_.prepare(kReadSize), CaptureError(error));
  buffer_.commit(size);
  co_return error;
}

std::size_t CallerReader::FindHeadEnd() {
  // Empty lines before a request are skipped, as RFC 9112 allows.
  while (BufferText(buffer_).starts_with("\r\n")) buffer_.consume(2);
  const std::size_t end = BufferText(buffer_).find(kHeadEnd);
  return end == std::string_view::npos ? 0 : end + kHeadEnd.size();
}

asio::awaitable<CallerRead> CallerReader::ReadHead(const CallerLimits& limits,
                                                   std::size_t& head_size) {
  const std::chrono::duration<double> idle(limits.idle_timeout);
  MonotonicTime head_deadline = MonotonicTime::max();
  while (true) {
    const bool room = co_await memory_.Grow(claim(), Bytes(buffer_.size()));
    if (!room) co_return RefuseForMemory();
    head_size = FindHeadEnd();
    if (head_size > 0) break;
    if (BufferText(buffer_).size() > limits.header.value()) {
      co_return Refused(ResultCode::kHeaderTooLarge, "request head exceeds the configured limit");
    }
    const bool begun = HasBytes();
    if (begun && head_deadline == MonotonicTime::max()) {
      head_deadline = clock_.Now() + limits.header_timeout;
    }
    const Duration wait = begun ? head_deadline - clock_.Now()
                                : std::chrono::duration_cast<Duration>(kIdleFactor * idle);
    const Duration read_timeout = std::max<Duration>(wait, std::chrono::milliseconds(1));
    const SocketError error = co_await ReadMore(read_timeout);
    if (error == beast::error::timeout && begun) {
      co_return Refused(ResultCode::kHeaderTimeout, "head not complete within the header timeout");
    }
    if (error) co_return Ended();
  }
  if (head_size > limits.header.value()) {
    co_return Refused(ResultCode::kHeaderTooLarge, "request head exceeds the configured limit");
  }
  const std::string_view problem = FindHeadError(BufferText(buffer_).substr(0, head_size));
  if (!problem.empty()) co_return Refused(ResultCode::kBadRequest, std::string(problem));
  CallerRead read;
  co_return read;
}

bool CallerReader::ParseBody(const CallerLimits& limits, RequestParser& parser,
                             SocketError& error) {
  const std::size_t size = std::min<std::size_t>(buffer_.size(), limits.header.value());
  if (size == 0) return false;
  const std::size_t used = parser.put(asio::buffer(buffer_.data(), size), error);
  buffer_.consume(used);
  if (error == http::error::need_more) error = {};
  if (!error && used == 0 && size == limits.header.value()) error = http::error::header_limit;
  return used > 0;
}

asio::awaitable<SocketError> CallerReader::ReadMoreBody(MonotonicTime deadline) {
  if (!given_up_) {
    const SocketError error = co_await ReadMore(
        std::max<Duration>(deadline - clock_.Now(), std::chrono::milliseconds(1)));
    if (error != asio::error::operation_aborted || !given_up_) co_return error;
  }
  SocketError error;
  if (stream_.socket().available(error) == 0) co_return asio::error::operation_aborted;
  const std::size_t size = stream_.socket().read_some(buffer_.prepare(kReadSize), error);
  buffer_.commit(size);
  co_return error;
}

asio::awaitable<CallerRead> CallerReader::ReadBody(const CallerLimits& limits,
                                                   std::size_t head_size, RequestParser& parser) {
  const MonotonicTime deadline = clock_.Now() + kBodyTimeout;
  parser.eager(true);
  while (!parser.is_done()) {
    const Bytes held(head_size + parser.get().body().size() + buffer_.size());
    const bool room = co_await memory_.Grow(claim(), held);
    if (!room) co_return RefuseForMemory();
    SocketError error;
    const bool progress = ParseBody(limits, parser, error);
    if (!error && !progress && !parser.is_done()) {
      error = co_await ReadMoreBody(deadline);
      if (given_up_ && error == asio::error::operation_aborted) {
        ++memory_.counters().uploads_given_up;
        co_return RefuseForMemory();
      }
    }
    if (error && IsDisconnect(error)) co_return Ended();
    if (error) co_return Refused(BodyErrorCode(error), "cannot read body: " + error.message());
  }
  CallerRead whole;
  co_return whole;
}

void CallerReader::GiveUp() {
  given_up_ = true;
  stream_.cancel();
}

CallerRead CallerReader::RefuseForMemory() {
  MemoryBudget& budget = memory_.budget();
  std::string detail =
      fmt::format("no memory is left for the request: given_up={} size={} held={} limit={}",
                  given_up_, claim().size().value(), budget.held().value(), budget.limit().value());
  claim().Release();
  ++memory_.counters().refused_for_memory;
  CallerRead read = Refused(ResultCode::kOverloaded, std::move(detail));
  read.refusal.retry_after = kRetryAfterMemory;
  return read;
}

asio::awaitable<CallerRead> CallerReader::Read(CallerLimits limits) {
  claim().Release();
  given_up_ = false;
  std::size_t head_size = 0;
  CallerRead read = co_await ReadHead(limits, head_size);
  if (!read.keep_alive) co_return read;
  auto request = MakeRef<CallerRequest>();
  request->arrived = clock_.Now();
  RequestParser parser;
  parser.header_limit(static_cast<std::uint32_t>(limits.header.value()));
  parser.body_limit(limits.body.value());
  SocketError error;
  const std::size_t used = parser.put(asio::buffer(buffer_.data(), head_size), error);
  if (error == http::error::need_more) error = {};
  if (error || !parser.is_header_done()) {
    co_return Refused(
        error == http::error::body_limit ? ResultCode::kBodyTooLarge : ResultCode::kBadRequest,
        "cannot parse head: " + error.message());
  }
  buffer_.consume(used);
  const auto& head = parser.get();
  const std::string_view problem = FindFramingError(head);
  if (!problem.empty()) co_return Refused(ResultCode::kBadRequest, std::string(problem));
  request->method = std::string(head.method_string());
  request->target = std::string(head.target());
  request->host = HostName(head[http::field::host]);
  std::vector<HttpHeader> headers;
  for (const auto& field : head) {
    headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  read.keep_alive = parser.keep_alive();
  read.refusal = HandleFailure(
      [&]() -> Result<Failure> {
        BOOST_LEAF_CHECK(protocol_.DecodeRequest(headers, *request));
        return Failure{ResultCode::kOk, "", RunState::kNotRun, {}};
      },
      [](const Failure& failure) { return failure; });
  if (read.refusal.code != ResultCode::kOk) co_return read;

  stream_.expires_after(kBodyTimeout);
  if (!parser.is_done() && boost::algorithm::iequals(head[http::field::expect], "100-continue")) {
    co_await asio::async_write(stream_, asio::buffer(kContinue), CaptureError(error));
  }
  if (error) co_return Ended();
  if (!parser.is_done()) {
    memory_.uploads().Add(*this, clock_.Now());
    reading_body_ = true;
    CallerRead body = co_await ReadBody(limits, head_size, parser);
    reading_body_ = false;
    UploadQueue::Remove(*this);
    if (!body.keep_alive) co_return body;
  }
  request->body = std::move(parser.get().body());
  read.request = std::move(request);
  co_return read;
}

}  // namespace bamboodock
