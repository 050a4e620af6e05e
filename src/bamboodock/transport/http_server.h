#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "bamboodock/core/result.h"
#include "bamboodock/core/units.h"
#include "bamboodock/transport/address.h"
#include "bamboodock/transport/http_types.h"

struct mg_connection;
struct mg_context;

namespace bamboodock {

/// Writes the response to one request; used on the connection's thread.
class ResponseWriter {
 public:
  explicit ResponseWriter(mg_connection* connection) : connection_(connection) {}

  /// Sends a whole response.
  void Send(const HttpResponse& response);
  /// Starts a chunked response; false when the peer has closed the connection.
  bool Begin(int status, const std::vector<HttpHeader>& headers);
  /// Sends one chunk; false when the peer has closed the connection.
  bool Write(std::string_view chunk);
  /// Sends the terminating chunk.
  void End();
  /// Closes the connection after the handler returns, without a response or without the rest of the
  /// one that was begun.
  void Close();
  /// Whether `Send` or `Begin` has been called.
  bool begun() const { return begun_; }
  int status() const { return status_; }

 private:
  mg_connection* connection_;
  bool begun_ = false;
  int status_ = 0;
};

/// Handles the requests of an `HttpServer`; called on the connection's thread, concurrently for
/// different connections.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  virtual void Handle(const HttpRequest& request, ResponseWriter& writer) = 0;
};

/// Server side of a message connection, for sending.
class MessageSender {
 public:
  virtual ~MessageSender() = default;
  /// Sends one binary message; false when the connection is closed. Any thread may call it.
  virtual bool Send(std::string_view message) = 0;
};

/// Server side of a message connection, for receiving; destroyed when the connection closes.
class MessageSession {
 public:
  virtual ~MessageSession() = default;
  /// Called on the connection's thread for each message received.
  virtual void OnMessage(std::string_view message) = 0;
};

/// Creates a session for each accepted message connection.
class MessageSessionFactory {
 public:
  virtual ~MessageSessionFactory() = default;
  /// Called on the connection's thread; `sender` outlives the session.
  virtual std::unique_ptr<MessageSession> Open(MessageSender& sender) = 0;
};

/// HTTP server, built on CivetWeb, with one handler and optionally one WebSocket path.
class HttpServer {
 public:
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  const Address& address() const { return address_; }
  /// Stops accepting connections, waits for running handlers and releases the port.
  void Stop();

 private:
  friend class HttpServerBuilder;
  HttpServer() = default;

  Address address_;
  std::string message_path_;
  Bytes max_body_;
  HttpHandler* handler_ = nullptr;
  MessageSessionFactory* sessions_ = nullptr;
  mg_context* context_ = nullptr;

  friend struct HttpServerCallbacks;
};

/// Builds an `HttpServer`.
class HttpServerBuilder {
 public:
  HttpServerBuilder& Listen(Address address);
  /// Maximum number of concurrent connections; CivetWeb uses one thread for each. Default 64.
  HttpServerBuilder& Threads(Concurrency threads);
  /// Larger request bodies are refused with status 413. Default 4 MiB.
  HttpServerBuilder& MaxBody(Bytes size);
  /// `handler` must outlive the server.
  HttpServerBuilder& Handler(HttpHandler& handler);
  /// Accepts WebSocket connections on `path`; `sessions` must outlive the server.
  HttpServerBuilder& Messages(std::string path, MessageSessionFactory& sessions);

  /// Starts the server; fails with `kBadSetting` when the address cannot be bound.
  Result<std::unique_ptr<HttpServer>> Build();

 private:
  Address address_;
  Concurrency threads_{64};
  Bytes max_body_{4U << 20U};
  HttpHandler* handler_ = nullptr;
  MessageSessionFactory* sessions_ = nullptr;
  std::string message_path_;
};

}  // namespace bamboodock
