#include "bamboodock/command/router/answer_writer.h"

#include <fmt/format.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace bamboodock {
namespace {

namespace http = boost::beast::http;

/// Value of Retry-After in seconds with three decimals; callers accept fractions.
std::string RetryAfter(std::chrono::milliseconds wait) {
  return fmt::format("{:.3f}", std::chrono::duration<double>(wait).count());
}

}  // namespace

asio::awaitable<bool> AnswerWriter::Send(AnswerHead head, std::string body, bool head_only) {
  http::response<http::string_body> message;
  message.result(static_cast<unsigned>(head.status));
  message.version(11);
  for (const HttpHeader& header : head.headers) message.insert(header.name, header.value);
  message.keep_alive(keep_alive_);
  message.body() = std::move(body);
  const bool bodyless = head.status == 204 || head.status == 304;
  if (!bodyless && !head_only) message.content_length(message.body().size());
  http::response_serializer<http::string_body> serializer(message);
  SocketError error;
  while (!serializer.is_done() && !error) {
    // The timeout counts from the last bytes that the caller has accepted, so that one that reads a
    // long answer slowly gets all of it.
    stream_.expires_after(write_timeout_);
    co_await http::async_write_some(stream_, serializer, CaptureError(error));
  }
  co_return !error;
}

asio::awaitable<bool> AnswerWriter::SendRefusal(Failure failure) {
  AnswerHead head;
  head.status = HttpStatus(failure.code);
  head.headers.push_back({"Content-Type", "application/json"});
  if (failure.retry_after.count() > 0) {
    head.headers.push_back({"Retry-After", RetryAfter(failure.retry_after)});
  }
  std::string body = fmt::format(R"({{"code":{},"name":"{}"}})", static_cast<int>(failure.code),
                                 Name(failure.code));
  co_return co_await Send(std::move(head), std::move(body), false);
}

asio::awaitable<bool> AnswerWriter::Begin(AnswerHead head) {
  http::response<http::empty_body> message;
  message.result(static_cast<unsigned>(head.status));
  message.version(11);
  for (const HttpHeader& header : head.headers) message.insert(header.name, header.value);
  message.keep_alive(keep_alive_);
  message.chunked(true);
  http::response_serializer<http::empty_body> serializer(message);
  stream_.expires_after(write_timeout_);
  SocketError error;
  co_await http::async_write_header(stream_, serializer, CaptureError(error));
  begun_ = true;
  co_return !error;
}

asio::awaitable<bool> AnswerWriter::Write(std::string part) {
  stream_.expires_after(write_timeout_);
  SocketError error;
  const auto chunk = http::make_chunk(asio::buffer(part));
  co_await asio::async_write(stream_, chunk, CaptureError(error));
  co_return !error;
}

asio::awaitable<bool> AnswerWriter::End() {
  stream_.expires_after(write_timeout_);
  SocketError error;
  const auto last = http::make_chunk_last();
  co_await asio::async_write(stream_, last, CaptureError(error));
  co_return !error;
}

}  // namespace bamboodock
