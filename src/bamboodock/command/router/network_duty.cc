#include "bamboodock/command/router/network_duty.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace bamboodock {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kInboxCapacity = 4096;
constexpr int kBacklog = 1024;
constexpr std::chrono::seconds kReadinessIdleTimeout{10};
constexpr std::chrono::seconds kReadinessWriteTimeout{2};
constexpr std::chrono::milliseconds kAcceptRetryDelay{20};

}  // namespace

NetworkDuty::NetworkDuty(const Address& callers, const Address& readiness, NetworkServices services)
    : services_(std::move(services)),
      memory_(services_.capacity.HeldBytesLimit(), services_.clock, services_.counters),
      inbox_(loop_, kInboxCapacity,
             [](PlannedAttempt& planned) { planned.receiver->OnPlan(std::move(planned.answer)); }),
      caller_acceptor_(loop_, ToEndpoint(callers)),
      readiness_acceptor_(loop_, ToEndpoint(readiness)) {
  caller_acceptor_.listen(kBacklog);
  drain_.on_connection_end = [this] { NotifyIfIdle(); };
}

void NetworkDuty::Start() {
  asio::co_spawn(loop_, AcceptCallers(), asio::detached);
  asio::co_spawn(loop_, AcceptReadiness(), asio::detached);
  thread_ = std::thread([this] { loop_.run(); });
}

void NetworkDuty::BeginDrain() {
  asio::post(loop_, [this] {
    drain_.phase = DrainPhase::kDraining;
    for (CallerConnection& connection : connections_) connection.OnDrain();
  });
}

void NetworkDuty::CloseIdle() {
  asio::post(loop_, [this] {
    drain_.phase = DrainPhase::kClosed;
    SocketError error;
    caller_acceptor_.close(error);
    for (CallerConnection& connection : connections_) connection.CloseIfIdle();
    NotifyIfIdle();
  });
}

void NetworkDuty::AbortOpen() {
  asio::post(loop_, [this] {
    for (CallerConnection& connection : connections_) connection.Abort();
  });
}

bool NetworkDuty::AwaitIdle(Duration limit) {
  std::unique_lock lock(idle_mutex_);
  return idle_changed_.wait_for(lock, limit, [this] { return idle_; });
}

void NetworkDuty::NotifyIfIdle() {
  if (drain_.phase != DrainPhase::kClosed) return;
  for (const CallerConnection& connection : connections_) {
    if (connection.busy()) return;
  }
  {
    const std::lock_guard lock(idle_mutex_);
    idle_ = true;
  }
  idle_changed_.notify_all();
}

void NetworkDuty::Stop() {
  loop_.stop();
  if (thread_.joinable()) thread_.join();
  connections_.clear();
}

asio::awaitable<void> NetworkDuty::AcceptCallers() {
  while (true) {
    SocketError error;
    asio::ip::tcp::socket socket = co_await caller_acceptor_.async_accept(CaptureError(error));
    if (drain_.phase == DrainPhase::kClosed) co_return;
    if (error) {
      services_.log.Write(Event::kCallerRejected, RequestId(),
                          "cannot accept connection: " + error.message());
      asio::steady_timer pause(loop_, kAcceptRetryDelay);
      co_await pause.async_wait(CaptureError(error));
      continue;
    }
    const bool full = services_.counters.open_connections >= services_.capacity.ConnectionLimit();
    if (full && !EvictConnection()) {
      services_.log.Write(Event::kCallerRejected, RequestId(), "connection limit reached");
      continue;
    }
    auto connection = MakeRef<CallerConnection>(std::move(socket), services_, memory_, drain_);
    connections_.push_back(*connection);
    asio::co_spawn(loop_, CallerConnection::Run(std::move(connection)), asio::detached);
  }
}

bool NetworkDuty::EvictConnection() {
  const auto found =
      std::find_if(connections_.begin(), connections_.end(),
                   [](const CallerConnection& connection) { return connection.evictable(); });
  if (found == connections_.end()) return false;
  found->Evict();
  ++services_.counters.connections_evicted;
  return true;
}

bool NetworkDuty::IsReady() const {
  return drain_.phase == DrainPhase::kOpen &&
         services_.clock.Now() < services_.status()->ready_until;
}

asio::awaitable<void> NetworkDuty::AcceptReadiness() {
  while (true) {
    SocketError error;
    asio::ip::tcp::socket socket = co_await readiness_acceptor_.async_accept(CaptureError(error));
    if (!error) asio::co_spawn(loop_, ServeReadiness(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> NetworkDuty::ServeReadiness(asio::ip::tcp::socket socket) {
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  SocketError error;
  while (true) {
    http::request<http::string_body> request;
    stream.expires_after(kReadinessIdleTimeout);
    co_await http::async_read(stream, buffer, request, CaptureError(error));
    if (error) co_return;
    const bool known = request.target() == services_.protocol.ReadyPath();
    const http::status status = !known      ? http::status::not_found
                                : IsReady() ? http::status::ok
                                            : http::status::service_unavailable;
    http::response<http::string_body> response(status, request.version());
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    stream.expires_after(kReadinessWriteTimeout);
    co_await http::async_write(stream, response, CaptureError(error));
    if (error || !request.keep_alive()) co_return;
  }
}

}  // namespace bamboodock
