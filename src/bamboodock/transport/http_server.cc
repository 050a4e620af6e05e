#include "bamboodock/transport/http_server.h"

#include <civetweb.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <utility>

namespace bamboodock {
namespace {

constexpr int kWebSocketBinary = 2;
constexpr int kWebSocketOpcodeMask = 0x0f;
constexpr int kWebSocketClose = 8;
constexpr std::size_t kReadBufferSize = 16384;
/// Status recorded when a connection is closed without a response; never sent.
constexpr int kStatusNoResponse = 444;

enum class BodyStatus { kComplete, kTooLarge, kTruncated };

BodyStatus ReadBody(mg_connection* connection, const mg_request_info& info, Bytes limit,
                    std::string& body) {
  if (info.content_length > static_cast<std::int64_t>(limit.value())) return BodyStatus::kTooLarge;
  std::array<char, kReadBufferSize> buffer{};
  while (true) {
    const int count = mg_read(connection, buffer.data(), buffer.size());
    if (count < 0) return BodyStatus::kTruncated;
    if (count == 0) break;
    body.append(buffer.data(), static_cast<std::size_t>(count));
    if (body.size() > limit.value()) return BodyStatus::kTooLarge;
  }
  const bool truncated =
      info.content_length >= 0 && body.size() < static_cast<std::size_t>(info.content_length);
  return truncated ? BodyStatus::kTruncated : BodyStatus::kComplete;
}

HttpRequest ToRequest(const mg_request_info& info) {
  HttpRequest request;
  request.method = info.request_method != nullptr ? info.request_method : "";
  request.path = info.local_uri != nullptr ? info.local_uri : "";
  request.query = info.query_string != nullptr ? info.query_string : "";
  request.headers.reserve(static_cast<std::size_t>(info.num_headers));
  for (int i = 0; i < info.num_headers; ++i) {
    request.headers.push_back({info.http_headers[i].name, info.http_headers[i].value});
  }
  return request;
}

HttpResponse ErrorResponse(int status, std::string_view type, std::string_view message) {
  HttpResponse response;
  response.status = status;
  response.headers = {{"Content-Type", "application/json"}, {"X-Bamboodock-Run", "not_run"}};
  response.body = "{\"error\":{\"message\":\"" + std::string(message) + "\",\"type\":\"" +
                  std::string(type) + "\",\"code\":\"" + std::string(type) +
                  "\",\"run\":\"not_run\"}}";
  return response;
}

/// Sends messages on one accepted WebSocket connection.
class WebSocketSender final : public MessageSender {
 public:
  explicit WebSocketSender(mg_connection* connection) : connection_(connection) {}

  bool Send(std::string_view message) override {
    if (closed_) return false;
    return mg_websocket_write(connection_, kWebSocketBinary, message.data(), message.size()) > 0;
  }
  void Close() { closed_ = true; }

 private:
  mg_connection* connection_;
  std::atomic<bool> closed_{false};
};

struct WebSocketState {
  explicit WebSocketState(mg_connection* connection) : sender(connection) {}
  WebSocketSender sender;
  std::unique_ptr<MessageSession> session;
};

}  // namespace

/// CivetWeb callbacks.
struct HttpServerCallbacks {
  static int OnRequest(mg_connection* connection, void* user_data) {
    const auto& server = *static_cast<HttpServer*>(user_data);
    const mg_request_info& info = *mg_get_request_info(connection);
    HttpRequest request = ToRequest(info);
    ResponseWriter writer(connection);
    switch (ReadBody(connection, info, server.max_body_, request.body)) {
      case BodyStatus::kTooLarge:
        mg_disable_keep_alive(connection);
        writer.Send(ErrorResponse(413, "body_too_large", "the request body is too large"));
        return writer.status();
      case BodyStatus::kTruncated:
        mg_disable_keep_alive(connection);
        writer.Send(ErrorResponse(400, "bad_request", "the request body ended early"));
        return writer.status();
      case BodyStatus::kComplete:
        break;
    }
    server.handler_->Handle(request, writer);
    return writer.status();
  }

  static int OnHttpError(mg_connection* connection, int status, const char* /*message*/) {
    ResponseWriter writer(connection);
    const bool too_large = status == 413 || status == 414 || status == 431;
    writer.Send(too_large
                    ? ErrorResponse(status, "body_too_large", "the request headers are too large")
                    : ErrorResponse(status, "bad_request", "the HTTP request is malformed"));
    return 0;
  }

  static int OnConnect(const mg_connection* /*connection*/, void* /*user_data*/) { return 0; }

  static void OnReady(mg_connection* connection, void* user_data) {
    const auto& server = *static_cast<HttpServer*>(user_data);
    auto state = std::make_unique<WebSocketState>(connection);
    state->session = server.sessions_->Open(state->sender);
    mg_set_user_connection_data(connection, state.release());
  }

  static int OnData(mg_connection* connection, int bits, char* data, std::size_t size,
                    void* /*user_data*/) {
    auto* state = static_cast<WebSocketState*>(mg_get_user_connection_data(connection));
    const int opcode = bits & kWebSocketOpcodeMask;
    if (opcode == kWebSocketClose || state == nullptr) return 0;
    if (opcode == kWebSocketBinary) state->session->OnMessage({data, size});
    return 1;
  }

  static void OnClose(const mg_connection* connection, void* /*user_data*/) {
    auto* state = static_cast<WebSocketState*>(mg_get_user_connection_data(connection));
    if (state == nullptr) return;
    state->sender.Close();
    state->session.reset();
    delete state;
    mg_set_user_connection_data(connection, nullptr);
  }
};

void ResponseWriter::Send(const HttpResponse& response) {
  begun_ = true;
  status_ = response.status;
  mg_response_header_start(connection_, response.status);
  for (const HttpHeader& header : response.headers) {
    mg_response_header_add(connection_, header.name.c_str(), header.value.c_str(), -1);
  }
  const std::string length = std::to_string(response.body.size());
  mg_response_header_add(connection_, "Content-Length", length.c_str(), -1);
  mg_response_header_send(connection_);
  mg_write(connection_, response.body.data(), response.body.size());
}

bool ResponseWriter::Begin(int status, const std::vector<HttpHeader>& headers) {
  begun_ = true;
  status_ = status;
  mg_response_header_start(connection_, status);
  for (const HttpHeader& header : headers) {
    mg_response_header_add(connection_, header.name.c_str(), header.value.c_str(), -1);
  }
  mg_response_header_add(connection_, "Transfer-Encoding", "chunked", -1);
  return mg_response_header_send(connection_) >= 0;
}

bool ResponseWriter::Write(std::string_view chunk) {
  if (chunk.empty()) return true;
  return mg_send_chunk(connection_, chunk.data(), static_cast<unsigned>(chunk.size())) > 0;
}

void ResponseWriter::End() { mg_send_chunk(connection_, "", 0); }

void ResponseWriter::Close() {
  mg_disable_keep_alive(connection_);
  if (!begun_) status_ = kStatusNoResponse;
}

HttpServer::~HttpServer() { Stop(); }

void HttpServer::Stop() {
  if (context_ == nullptr) return;
  mg_stop(std::exchange(context_, nullptr));
}

HttpServerBuilder& HttpServerBuilder::Listen(Address address) {
  address_ = std::move(address);
  return *this;
}

HttpServerBuilder& HttpServerBuilder::Threads(Concurrency threads) {
  threads_ = threads;
  return *this;
}

HttpServerBuilder& HttpServerBuilder::MaxBody(Bytes size) {
  max_body_ = size;
  return *this;
}

HttpServerBuilder& HttpServerBuilder::Handler(HttpHandler& handler) {
  handler_ = &handler;
  return *this;
}

HttpServerBuilder& HttpServerBuilder::Messages(std::string path, MessageSessionFactory& sessions) {
  message_path_ = std::move(path);
  sessions_ = &sessions;
  return *this;
}

Result<std::unique_ptr<HttpServer>> HttpServerBuilder::Build() {
  static std::once_flag library_once;
  std::call_once(library_once, [] { mg_init_library(MG_FEATURES_DEFAULT); });

  std::unique_ptr<HttpServer> server(new HttpServer());
  server->address_ = address_;
  server->max_body_ = max_body_;
  server->handler_ = handler_;
  server->sessions_ = sessions_;
  server->message_path_ = message_path_;

  const std::string listen = address_.ToString();
  const std::string threads = std::to_string(threads_.value());
  // The WebSocket timeout is 1 h, since a stream may be silent for long while a model loads; the
  // router itself checks for progress.
  const std::array options{"listening_ports",
                           listen.c_str(),
                           "num_threads",
                           threads.c_str(),
                           "connection_queue",
                           "256",
                           "tcp_nodelay",
                           "1",
                           "enable_keep_alive",
                           "yes",
                           "keep_alive_timeout_ms",
                           "20000",
                           "request_timeout_ms",
                           "20000",
                           "websocket_timeout_ms",
                           "3600000",
                           "enable_directory_listing",
                           "no",
                           "access_control_allow_origin",
                           "",
                           static_cast<const char*>(nullptr)};
  mg_callbacks callbacks{};
  callbacks.http_error = &HttpServerCallbacks::OnHttpError;
  server->context_ = mg_start(&callbacks, server.get(), const_cast<const char**>(options.data()));
  if (server->context_ == nullptr) {
    return Raise(ResultCode::kBadSetting, "cannot listen on " + listen);
  }
  if (sessions_ != nullptr) {
    mg_set_websocket_handler(server->context_, server->message_path_.c_str(),
                             &HttpServerCallbacks::OnConnect, &HttpServerCallbacks::OnReady,
                             &HttpServerCallbacks::OnData, &HttpServerCallbacks::OnClose,
                             server.get());
  }
  if (handler_ != nullptr) {
    mg_set_request_handler(server->context_, "**", &HttpServerCallbacks::OnRequest, server.get());
  }
  return server;
}

}  // namespace bamboodock
