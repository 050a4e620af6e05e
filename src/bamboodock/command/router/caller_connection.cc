#include "bamboodock/command/router/caller_connection.h"

#include <utility>

#include "bamboodock/command/router/disconnect_monitor.h"
#include "bamboodock/command/router/liveness_monitor.h"

namespace bamboodock {
namespace {

/// How long the host of a caller may be unresponsive before it is taken for lost.
constexpr std::chrono::seconds kCallerTimeout{4};

/// Delay after which the load balancer sends a retry to another entry.
constexpr std::chrono::milliseconds kStoppingRetryAfter{100};

}  // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket, NetworkServices& services,
                                   HeldMemory& memory, const DrainState& drain)
    : stream_(std::move(socket)),
      services_(services),
      memory_(memory),
      drain_(drain),
      reader_(stream_, services.protocol, services.clock, memory) {
  ConfigureSocket(stream_.socket(), kCallerTimeout);
  ++services_.counters.open_connections;
}

CallerConnection::~CallerConnection() { --services_.counters.open_connections; }

void CallerConnection::CloseIfIdle() {
  if (!busy()) stream_.close();
}

void CallerConnection::Evict() {
  evicted_ = true;
  stream_.close();
}

void CallerConnection::Abort() {
  if (exchange_ != nullptr) {
    exchange_->OnStopping();
  } else {
    stream_.close();
  }
}

asio::awaitable<void> CallerConnection::Run(Ref<CallerConnection> self) {
  co_await self->ServeAll();
}

asio::awaitable<void> CallerConnection::ServeAll() {
  bool open = true;
  while (open) {
    const Ref<const RouterStatus> status = services_.status();
    const CallerLimits limits = status->table ? status->table->limits() : CallerLimits();
    CallerRead read = co_await reader_.Read(limits);
    busy_ = true;
    open = read.request != nullptr;
    if (open && drain_.phase == DrainPhase::kClosed) {
      open = false;
      Failure stopping{ResultCode::kStopping, "the router is shutting down", RunState::kNotRun,
                       kStoppingRetryAfter};
      co_await Reject(std::move(stopping));
    } else if (open) {
      open = co_await Serve(std::move(read));
    } else if (read.refusal.code != ResultCode::kOk) {
      co_await Reject(std::move(read.refusal));
    }
    busy_ = false;
  }
  SocketError error;
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_both, error);
  stream_.close();
  ended_ = true;
  drain_.on_connection_end();
}

asio::awaitable<void> CallerConnection::Reject(Failure refusal) {
  services_.log.Write(Event::kCallerRejected, RequestId(),
                      std::string(Name(refusal.code)) + ": " + refusal.detail);
  AnswerWriter writer(stream_);
  writer.set_keep_alive(false);
  co_await writer.SendRefusal(std::move(refusal));
}

asio::awaitable<bool> CallerConnection::Serve(CallerRead read) {
  ++services_.counters.requests;
  ++services_.counters.open_requests;
  AnswerWriter writer(stream_);
  writer.set_keep_alive(read.keep_alive && drain_.phase == DrainPhase::kOpen);
  RequestExchange exchange(services_, memory_, stream_.get_executor(), writer,
                           std::move(read.request));
  auto monitor =
      MakeRef<DisconnectMonitor>(stream_.socket(), [&exchange] { exchange.OnCallerClosed(); });
  monitor->Start();
  auto liveness = MakeRef<LivenessMonitor>(stream_.socket(), kCallerTimeout, [this, &exchange] {
    exchange.OnCallerClosed();
    stream_.close();
  });
  liveness->Start();
  exchange_ = &exchange;
  writer_ = &writer;
  const bool reusable = co_await exchange.Run();
  exchange_ = nullptr;
  writer_ = nullptr;
  monitor->Stop();
  liveness->Stop();
  --services_.counters.open_requests;
  // A request whose first bytes were read is answered, also while the process stops.
  co_return reusable && (drain_.phase == DrainPhase::kOpen || reader_.HasBytes());
}

}  // namespace bamboodock
