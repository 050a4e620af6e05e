#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "bamboodock/standin/roles.h"
#include "bamboodock/transport/http_client.h"

namespace bamboodock {

/// Serves a stand-in role in this process, on the first free port from 24100 to 24299.
class StandinServer {
 public:
  explicit StandinServer(std::unique_ptr<standin::Role> role) : role_(std::move(role)) {
    constexpr std::uint16_t kFirstPort = 24100;
    constexpr std::uint16_t kPorts = 200;
    constexpr Concurrency kThreads{24};
    static std::uint16_t offset = 0;
    for (int i = 0; i < kPorts && !server_; ++i) {
      address_ = {"127.0.0.1", static_cast<std::uint16_t>(kFirstPort + (offset++ % kPorts))};
      HandleFailure(
          [&]() -> Result<bool> {
            BOOST_LEAF_ASSIGN(server_, HttpServerBuilder()
                                           .Listen(address_)
                                           .Threads(kThreads)
                                           .Handler(role_->handler())
                                           .Build());
            return true;
          },
          [](const Failure&) { return false; });
    }
    if (!server_) throw std::runtime_error("no free port from 24100 to 24299");
  }

  ~StandinServer() {
    role_->Stop();
    // CivetWeb takes two seconds to stop; a thread of its own spares the next tests this wait.
    static ShutdownThreads shutdown;
    shutdown.threads.emplace_back(
        [role = std::move(role_), server = std::move(server_)]() mutable { server.reset(); });
  }

  const Address& address() const { return address_; }

  /// Sends a request; the status is 0 when no complete response came within `timeout`.
  HttpResponse Send(const HttpRequest& request, Duration timeout = std::chrono::seconds(20)) const {
    HttpResponse response;
    const bool complete = HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_ASSIGN(response, HttpClient(address_).Call(request, timeout));
          return true;
        },
        [](const Failure&) { return false; });
    if (!complete) response.status = 0;
    return response;
  }

  HttpResponse Post(const std::string& path, const nlohmann::json& body) const {
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.body = body.dump();
    return Send(request);
  }

  nlohmann::json Get(const std::string& path) const {
    HttpRequest request;
    request.path = path;
    return nlohmann::json::parse(Send(request).body);
  }

 private:
  struct ShutdownThreads {
    std::vector<std::jthread> threads;
  };

  std::unique_ptr<standin::Role> role_;
  std::unique_ptr<HttpServer> server_;
  Address address_;
};

}  // namespace bamboodock
