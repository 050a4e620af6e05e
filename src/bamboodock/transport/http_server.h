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

/// Writes one response on the thread of its connection.
class ResponseWriter {
 public:
  explicit ResponseWriter(mg_connection* connection) : connection_(connection) {}

  /// Sends a whole response.
  void Send(const HttpResponse& response);
  /// Starts a response of unknown length; false when the peer has left.
  bool Begin(int status, const std::vector<HttpHeader>& headers);
  /// Sends a part; false when the peer has left.
  bool Write(std::string_view part);
  /// Sends the end mark.
  void End();
  /// Ends the connection without a response, or without the rest of the one that was begun.
  void Close();
  /// Whether a status line has been sent.
  bool begun() const { return begun_; }
  int status() const { return status_; }

 private:
  mg_connection* connection_;
  bool begun_ = false;
  int status_ = 0;
};

/// Receives the requests of an `HttpServer`, on the thread of the connection.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  virtual void Handle(const HttpRequest& request, ResponseWriter& writer) = 0;
};

/// Connection of a message peer, as the server sees it.
class MessageSender {
 public:
  virtual ~MessageSender() = default;
  /// Sends one binary message; false when the peer has left. Any thread may call it.
  virtual bool Send(std::string_view message) = 0;
};

/// State of one message connection on the server.
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
  /// `sender` outlives the session.
  virtual std::unique_ptr<MessageSession> Open(MessageSender& sender) = 0;
};

/// CivetWeb server with one handler and, optionally, one WebSocket path.
class HttpServer {
 public:
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  const Address& address() const { return address_; }
  /// Stops accepting, waits for open handlers, frees the port.
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

/// Settings of an `HttpServer`.
class HttpServerBuilder {
 public:
  HttpServerBuilder& Listen(Address address);
  /// Connections served at the same time; CivetWeb holds a thread for each.
  HttpServerBuilder& Threads(Concurrency threads);
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
