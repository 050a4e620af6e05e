#include "bamboodock/command/router/router_process.h"

#include <fmt/format.h>

#include <boost/system/system_error.hpp>
#include <random>
#include <thread>
#include <utility>

#include "bamboodock/command/router/network_duty.h"
#include "bamboodock/command/router/peer_duty.h"
#include "bamboodock/command/router/planning_duty.h"
#include "bamboodock/command/router/store_duty.h"
#include "bamboodock/core/boot_clock.h"
#include "bamboodock/core/id_generator.h"
#include "bamboodock/observe/process_event_log.h"
#include "bamboodock/query/router/metrics_query.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock {
namespace {

/// The load balancer probes readiness every second and removes a process after two failures.
constexpr std::chrono::milliseconds kLoadBalancerDelay{2600};
/// The grace time is divided by this to get the part that is reserved for ending the requests that
/// are still open and for stopping the threads.
constexpr int kShutdownReserveDivisor = 8;
/// Time limit for telling the callers of open requests that the process ends.
constexpr std::chrono::milliseconds kAbortTimeout{300};
/// Time limit for a change from the store to wait for room in the planning ring.
constexpr std::chrono::seconds kMaxChangeWait{2};
constexpr std::uint32_t kMetricsThreads = 2;

RouterIdentity MakeIdentity(const RouterSettings& settings) {
  IdGenerator ids;
  return {settings.host, IncarnationId(ids.Next("router-")), settings.availability_zone};
}

}  // namespace

struct RouterProcess::Parts : public StoreListener {
  Parts(const RouterSettings& settings, const RouterAdapters& adapters)
      : grace(settings.grace),
        planning(RouteState(MakeIdentity(settings), settings.limits, clock,
                            Random(std::random_device()()), log),
                 PlanningOutputs{
                     [this](PlannedAttempt planned) { return network.Post(std::move(planned)); },
                     [this](const RolloutProgress& progress) {
                       return store.Post({progress, std::nullopt, std::nullopt});
                     },
                     [this](PeerReport report) { return peers.Post(std::move(report)); },
                     [this](PromptEvidenceReport report) { return peers.Post(std::move(report)); },
                     [this](RateLimitReport report) { return peers.Post(std::move(report)); },
                     [this](MonotonicTime covered_until, StoreEra era) {
                       return store.Post(
                           {std::nullopt, std::nullopt, PeerKnowledge{covered_until, era}});
                     }},
                 log),
        network(settings.callers, settings.readiness,
                NetworkServices{
                    adapters.wire, clock, log, counters,
                    ModelChoice(settings.limits.least_confidence), settings.answer_limits,
                    [this](RouteCommand command) { return planning.Post(std::move(command)); },
                    [this] { return planning.status(); }, settings.capacity}),
        peers(
            {settings.host, settings.gossip},
            [this](PeerMessage message) {
              // A message that does not fit in the ring is dropped: messages are cumulative, so the
              // next one replaces it.
              std::visit([this](auto& content) { static_cast<void>(planning.Post(content)); },
                         message);
            },
            clock, log),
        store(settings.store, {settings.host, settings.gossip}, adapters.directory, adapters.store,
              clock, *this, log, counters),
        metrics(counters, [this] { return planning.status(); }) {}

  bool OnChange(RouteCommand change) override {
    const MonotonicTime deadline = std::chrono::steady_clock::now() + kMaxChangeWait;
    if (planning.PostUntil(std::move(change), deadline)) return true;
    log.Write(
        Event::kConfigRejected, RequestId(),
        "code=ring_full: store change not applied before the deadline, listing the table again");
    return false;
  }
  void OnPeers(const std::vector<PeerRecord>& found) override {
    if (!peers.Post(found)) {
      log.Write(Event::kPeerUnreachable, RequestId(),
                "code=ring_full: list of peers dropped, the ring of the peer duty is full");
    }
  }

  Duration grace;
  BootClock clock;
  ProcessEventLog log;
  RouterCounters counters;
  PlanningDuty planning;
  NetworkDuty network;
  PeerDuty peers;
  StoreDuty store;
  MetricsQuery metrics;
  std::unique_ptr<HttpServer> metrics_server;
};

RouterProcess::RouterProcess() = default;
RouterProcess::~RouterProcess() = default;

Result<std::unique_ptr<RouterProcess>> RouterProcess::Start(const RouterSettings& settings,
                                                            const RouterAdapters& adapters) {
  std::unique_ptr<RouterProcess> process(new RouterProcess);
  try {
    process->parts_ = std::make_unique<Parts>(settings, adapters);
  } catch (const boost::system::system_error& error) {
    return Raise(ResultCode::kBadSetting, std::string("cannot bind an address: ") + error.what());
  }
  Parts& parts = *process->parts_;
  if (settings.metrics) {
    BOOST_LEAF_ASSIGN(parts.metrics_server, HttpServerBuilder()
                                                .Listen(*settings.metrics)
                                                .Threads(Concurrency(kMetricsThreads))
                                                .Handler(parts.metrics)
                                                .Build());
  }
  parts.log.Write(
      Event::kStarted, RequestId(),
      fmt::format("host={} zone={} callers={} store={} memory_mb={} descriptors={}",
                  settings.host.value(), settings.availability_zone.value(),
                  settings.callers.ToString(), settings.store.ToString(),
                  settings.capacity.memory.value() >> 20U, settings.capacity.descriptors));
  parts.planning.Start();
  parts.network.Start();
  parts.peers.Start();
  parts.store.Start();
  return process;
}

void RouterProcess::Reload(const RouterSettings& settings) {
  parts_->log.Write(Event::kSettingsReloaded, RequestId(), "store=" + settings.store.ToString());
  if (!parts_->store.Post({std::nullopt, settings.store, std::nullopt})) {
    parts_->log.Write(
        Event::kStoreFailed, RequestId(),
        "code=ring_full: new store address dropped, the ring of the store duty is full");
  }
}

void RouterProcess::Stop() {
  Parts& parts = *parts_;
  const MonotonicTime drain_deadline =
      parts.clock.Now() + parts.grace - parts.grace / kShutdownReserveDivisor;
  parts.log.Write(Event::kStopping, RequestId(), "");
  parts.network.BeginDrain();
  // CivetWeb notices a stop only every two seconds, so it ends in parallel to the drain.
  std::thread stop_metrics([&parts] {
    if (parts.metrics_server) parts.metrics_server->Stop();
  });
  std::this_thread::sleep_for(kLoadBalancerDelay);
  parts.network.CloseIdle();
  if (!parts.network.AwaitIdle(drain_deadline - parts.clock.Now())) {
    parts.log.Write(
        Event::kStopping, RequestId(),
        fmt::format("grace time is over, ending open_requests={}", parts.network.open_requests()));
    parts.network.AbortOpen();
    parts.network.AwaitIdle(kAbortTimeout);
  }
  parts.log.Write(Event::kStopped, RequestId(),
                  fmt::format("open_requests={}", parts.network.open_requests()));
  stop_metrics.join();
  parts.store.Stop();
  parts.peers.Stop();
  parts.network.Stop();
  parts.planning.Stop();
}

}  // namespace bamboodock
