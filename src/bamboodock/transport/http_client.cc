#include "bamboodock/transport/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "bamboodock/transport/response_receiver.h"

namespace bamboodock {
namespace {

namespace http = boost::beast::http;

constexpr std::chrono::seconds kConnectTimeout{10};
/// Longest pause between bytes of a body.
constexpr std::chrono::seconds kReadTimeout{30};

std::string Encode(const HttpRequest& request, const Address& peer) {
  std::string text = request.method + " " + request.path;
  if (!request.query.empty()) text += "?" + request.query;
  text += " HTTP/1.1\r\nHost: " + peer.ToString() + "\r\nConnection: close\r\n";
  for (const HttpHeader& header : request.headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n";
  return text + request.body;
}

asio::awaitable<SocketError> SendAll(beast::tcp_stream& stream, const std::string& bytes) {
  SocketError error;
  co_await asio::async_write(stream, asio::buffer(bytes), CaptureError(error));
  co_return error;
}

}  // namespace

SocketError HttpStream::Run(asio::awaitable<SocketError> operation) {
  SocketError result;
  asio::co_spawn(loop_, std::move(operation),
                 [&result](const std::exception_ptr& thrown, const SocketError& error) {
                   result = thrown ? SocketError(asio::error::invalid_argument) : error;
                 });
  loop_.restart();
  loop_.run();
  return result;
}

SocketError HttpStream::Connect(const Address& peer) {
  return Run(bamboodock::Connect(stream_, peer, kConnectTimeout));
}

void HttpStream::Send(const std::string& request, Duration timeout) {
  stream_.expires_after(timeout);
  send_error_ = Run(SendAll(stream_, request));
}

SocketError HttpStream::ReadHead(bool head_only, Duration timeout) {
  parser_.Start(head_only);
  stream_.expires_after(timeout);
  return Run(ReceiveHead(stream_, parser_));
}

SocketError HttpStream::ReadBody() {
  const SocketError error = parser_.ParseBody(body_);
  if (error != http::error::need_more) return error;
  stream_.expires_after(kReadTimeout);
  const SocketError received = Run(ReceiveSome(stream_, parser_));
  if (received == asio::error::eof) return parser_.OnConnectionEnd(send_error_);
  if (received) return received;
  return parser_.ParseBody(body_);
}

bool HttpStream::ReadLine(std::string& line) {
  SocketError error = http::error::need_more;
  std::size_t searched = 0;
  while (true) {
    const std::size_t end = body_.find('\n', searched);
    if (end != std::string::npos) {
      line = body_.substr(0, end);
      body_.erase(0, end + 1);
      return true;
    }
    searched = body_.size();
    if (error != http::error::need_more || searched > kMaxLine.value()) return false;
    error = ReadBody();
  }
}

Result<std::string> HttpStream::ReadAll(Bytes limit) {
  SocketError error = http::error::need_more;
  while (error == http::error::need_more) {
    error = ReadBody();
    if (body_.size() > limit.value()) {
      return Raise(ResultCode::kBodyTooLarge, "response body exceeds the size limit of the call",
                   RunState::kRan);
    }
  }
  if (error) {
    return Raise(ResultCode::kAnswerIncomplete, "response body incomplete: " + error.message(),
                 RunState::kUnknown);
  }
  return std::move(body_);
}

Result<std::unique_ptr<HttpStream>> HttpClient::Open(const HttpRequest& request,
                                                     Duration timeout) const {
  std::unique_ptr<HttpStream> stream(new HttpStream());
  if (stream->Connect(peer_)) {
    return Raise(ResultCode::kConnectionFailed, "cannot connect to " + peer_.ToString());
  }
  stream->Send(Encode(request, peer_), timeout);
  const SocketError error = stream->ReadHead(request.method == "HEAD", timeout);
  if (!error) return stream;
  const std::string cause = (stream->send_error_ ? stream->send_error_ : error).message();
  if (IsInvalidHttp(error)) {
    return Raise(ResultCode::kBadMessage,
                 "no valid response from " + peer_.ToString() + ": " + cause, RunState::kUnknown);
  }
  return Raise(ResultCode::kConnectionSilent,
               "no response head from " + peer_.ToString() + ": " + cause, RunState::kUnknown);
}

Result<HttpResponse> HttpClient::Call(const HttpRequest& request, Duration timeout) const {
  constexpr Bytes kResponseLimit{64U << 20U};
  BOOST_LEAF_AUTO(stream, Open(request, timeout));
  HttpResponse response;
  response.status = stream->status();
  response.headers = stream->headers();
  BOOST_LEAF_ASSIGN(response.body, stream->ReadAll(kResponseLimit));
  return response;
}

}  // namespace bamboodock
