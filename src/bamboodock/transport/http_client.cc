#include "bamboodock/transport/http_client.h"

#include <civetweb.h>

#include <algorithm>
#include <array>
#include <utility>

#include "bamboodock/codec/json_nesting_tracker.h"

namespace bamboodock {
namespace {

constexpr std::size_t kErrorBufferSize = 256;
constexpr std::size_t kReadBufferSize = 16384;
constexpr std::size_t kLineBufferSize = 64;

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

int Milliseconds(Duration duration) {
  return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

HttpStream::~HttpStream() {
  if (connection_ != nullptr) mg_close_connection(connection_);
}

bool HttpStream::ReadLine(std::string& line) {
  line.clear();
  JsonNestingTracker nesting;
  std::array<char, kLineBufferSize> buffer{};
  while (true) {
    // `mg_read` returns only when the buffer is full, so each read asks for no more than this line
    // must still contain: the rest of its JSON text, or one byte.
    const std::size_t max_bytes =
        std::clamp<std::size_t>(nesting.min_remaining_bytes(), 1, buffer.size());
    const int count = mg_read(connection_, buffer.data(), max_bytes);
    if (count <= 0) return false;
    for (int i = 0; i < count; ++i) {
      const char byte = buffer[static_cast<std::size_t>(i)];
      if (byte == '\n') return true;
      line.push_back(byte);
      nesting.Feed(byte);
    }
  }
}

Result<std::string> HttpStream::ReadAll(Bytes limit) {
  std::string body;
  std::array<char, kReadBufferSize> buffer{};
  int count = 0;
  while ((count = mg_read(connection_, buffer.data(), buffer.size())) > 0) {
    body.append(buffer.data(), static_cast<std::size_t>(count));
    if (body.size() > limit.value()) {
      return Raise(ResultCode::kBodyTooLarge, "response body exceeds the size limit of the call",
                   RunState::kRan);
    }
  }
  const bool truncated =
      content_length_ >= 0 && body.size() < static_cast<std::size_t>(content_length_);
  if (count < 0 || truncated) {
    return Raise(ResultCode::kAnswerIncomplete,
                 "response body truncated by a read error or shorter than its Content-Length",
                 RunState::kUnknown);
  }
  return body;
}

Result<std::unique_ptr<HttpStream>> HttpClient::Open(const HttpRequest& request,
                                                     Duration timeout) const {
  std::array<char, kErrorBufferSize> error{};
  mg_connection* connection =
      mg_connect_client(peer_.ip.c_str(), peer_.port, 0, error.data(), error.size());
  if (connection == nullptr) {
    return Raise(ResultCode::kConnectionFailed, "cannot connect to " + peer_.ToString());
  }
  std::unique_ptr<HttpStream> stream(new HttpStream());
  stream->connection_ = connection;
  const std::string text = Encode(request, peer_);
  if (mg_write(connection, text.data(), text.size()) <= 0) {
    return Raise(ResultCode::kConnectionFailed, "cannot send the request to " + peer_.ToString(),
                 RunState::kUnknown);
  }
  if (mg_get_response(connection, error.data(), error.size(), Milliseconds(timeout)) < 0) {
    return Raise(ResultCode::kConnectionSilent, "no response headers from " + peer_.ToString(),
                 RunState::kUnknown);
  }
  const mg_response_info& info = *mg_get_response_info(connection);
  stream->status_ = info.status_code;
  stream->content_length_ = info.content_length;
  for (int i = 0; i < info.num_headers; ++i) {
    stream->headers_.push_back({info.http_headers[i].name, info.http_headers[i].value});
  }
  return stream;
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
