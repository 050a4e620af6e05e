#include "bamboodock/command/router/endpoint_call.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <limits>
#include <utility>

namespace bamboodock {
namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t kLargestHead = 32768;
/// Answers with these codes precede the answer itself.
constexpr int kFirstFinalCode = 200;

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
  co_await http::async_write(self->stream_, message, StoreError(error));
  // A failure shows in the read of the answer, which an endpoint may send before it has read all.
}

asio::awaitable<CallHead> EndpointCall::Send(Ref<const CallerRequest> request,
                                             std::vector<HttpHeader> added,
                                             std::chrono::milliseconds timeout) {
  stream_.expires_after(timeout);
  // Written beside the read: an endpoint may answer before it has taken the whole body.
  asio::co_spawn(stream_.get_executor(), Write(Ref<EndpointCall>(this), request, std::move(added)),
                 asio::detached);
  CallHead head;
  SocketError error;
  do {
    parser_.emplace();
    parser_->header_limit(kLargestHead);
    parser_->body_limit(boost::none);
    parser_->skip(request->method == "HEAD");
    co_await http::async_read_header(stream_, buffer_, *parser_, StoreError(error));
    if (error) {
      head.status = Classify(error);
      co_return head;
    }
    head.code = static_cast<int>(parser_->get().result_int());
  } while (head.code < kFirstFinalCode);
  for (const auto& field : parser_->get()) {
    head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  co_return head;
}

asio::awaitable<CallPiece> EndpointCall::Read(std::chrono::milliseconds timeout) {
  stream_.expires_after(timeout);
  CallPiece piece;
  while (!parser_->is_done()) {
    auto& body = parser_->get().body();
    body.data = chunk_.data();
    body.size = chunk_.size();
    body.more = true;
    SocketError error;
    co_await http::async_read_some(stream_, buffer_, *parser_, StoreError(error));
    if (error == http::error::need_buffer) error = {};
    piece.bytes.append(chunk_.data(), chunk_.size() - body.size);
    if (error) {
      piece.status = Classify(error);
      co_return piece;
    }
    if (!piece.bytes.empty()) co_return piece;
  }
  piece.status = CallStatus::kEnd;
  co_return piece;
}

}  // namespace bamboodock
