#include "bamboodock/transport/async_http_channel.h"

#include <boost/beast/http.hpp>
#include <limits>
#include <utility>

#include "bamboodock/transport/response_receiver.h"

namespace bamboodock {
namespace {

namespace http = boost::beast::http;

constexpr std::chrono::milliseconds kConnectTimeout{700};
/// Several times a page of the store, which has at most 1 MB of rows.
constexpr std::size_t kMaxResponseBytes = 4U << 20U;

}  // namespace

AsyncHttpChannel::AsyncHttpChannel(asio::any_io_executor executor, Address server)
    : server_(std::move(server)), stream_(std::move(executor)) {}

void AsyncHttpChannel::Close() {
  open_ = false;
  stream_.close();
  parser_.Clear();
}

bool AsyncHttpChannel::HasUnreadBytes() {
  SocketError error;
  return parser_.HasBytes() || stream_.socket().available(error) > 0;
}

void AsyncHttpChannel::SetServer(Address server) {
  if (server == server_) return;
  server_ = std::move(server);
  Close();
}

asio::awaitable<SocketError> AsyncHttpChannel::ReadBody(std::string& body) {
  SocketError error = parser_.ParseBody(body);
  while (error == http::error::need_more) {
    if (body.size() > kMaxResponseBytes) co_return http::error::body_limit;
    error = co_await ReceiveSome(stream_, parser_);
    if (error == asio::error::eof) co_return parser_.OnConnectionEnd({});
    if (!error) error = parser_.ParseBody(body);
  }
  co_return error;
}

asio::awaitable<SocketError> AsyncHttpChannel::Exchange(const HttpRequest& request,
                                                        HttpResponse& response) {
  const std::string target =
      request.query.empty() ? request.path : request.path + "?" + request.query;
  http::request<http::string_body> message(http::string_to_verb(request.method), target, 11);
  message.set(http::field::host, server_.ToString());
  for (const HttpHeader& header : request.headers) message.set(header.name, header.value);
  message.body() = request.body;
  message.prepare_payload();
  SocketError error;
  co_await http::async_write(stream_, message, CaptureError(error));
  if (error) co_return error;
  parser_.Start();
  error = co_await ReceiveHead(stream_, parser_);
  if (error) co_return error;
  response.status = parser_.head().status;
  response.headers = parser_.head().headers;
  error = co_await ReadBody(response.body);
  co_return error;
}

asio::awaitable<HttpExchangeResult> AsyncHttpChannel::Call(HttpRequest request,
                                                           std::chrono::milliseconds timeout) {
  HttpExchangeResult result;
  if (open_ && HasUnreadBytes()) Close();
  if (!open_) {
    stream_.close();
    result.error = co_await Connect(stream_, server_, kConnectTimeout);
    if (result.error) co_return result;
    // Calls are short, and a server that does not read one for so long would answer too late.
    FailWhenUnacknowledged(stream_.socket(), kPeerTimeout);
    open_ = true;
  }
  stream_.expires_after(timeout);
  HttpResponse response;
  result.error = co_await Exchange(request, response);
  if (result.error || !parser_.keep_alive()) Close();
  if (!result.error) result.response = std::move(response);
  co_return result;
}

}  // namespace bamboodock
