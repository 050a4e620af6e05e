#include "bamboodock/command/entry/entry_process.h"

#include <utility>

#include "bamboodock/command/entry/attempt_client.h"
#include "bamboodock/command/entry/entry_handlers.h"
#include "bamboodock/command/entry/entry_rpc.h"
#include "bamboodock/command/entry/publisher.h"
#include "bamboodock/command/entry/settle_duty.h"
#include "bamboodock/command/entry/store_watch_duty.h"
#include "bamboodock/command/entry/withdraw_duty.h"
#include "bamboodock/core/id_generator.h"
#include "bamboodock/stores/http_object_store.h"
#include "bamboodock/stores/http_table.h"

namespace bamboodock {
namespace {

constexpr Concurrency kOperatorThreads{8};
constexpr Concurrency kRpcThreads{32};
/// Larger than the limit for callers, because a control request may carry a whole object set.
constexpr Bytes kMaxControlBody{16U << 20U};
/// Time that the load balancer needs to notice that the entry is no longer ready.
constexpr std::chrono::milliseconds kBalancerDrainDelay{1000};

std::vector<HostId> WitnessesOf(const EntrySettings& settings) {
  std::vector<HostId> witnesses{settings.host};
  for (const PeerEntry& peer : settings.peers) witnesses.push_back(peer.host);
  return witnesses;
}

std::vector<Address> RpcAddresses(const EntrySettings& settings) {
  std::vector<Address> addresses;
  for (const PeerEntry& peer : settings.peers) addresses.push_back(peer.rpc);
  return addresses;
}

std::vector<Address> OperatorAddresses(const EntrySettings& settings) {
  std::vector<Address> addresses;
  for (const PeerEntry& peer : settings.peers) addresses.push_back(peer.operators);
  return addresses;
}

}  // namespace

struct EntryProcess::Parts {
  Parts(const EntrySettings& settings, IdGenerator& id_generator, const IncarnationId& incarnation,
        std::uint64_t seed)
      : ids(id_generator),
        timeline(clock),
        table(settings.platform, config::kControlTimeout),
        objects(settings.platform, config::kControlTimeout),
        config(settings.host, WitnessesOf(settings), timeline),
        withdrawals(ids),
        routes({settings.availability_zone, config, timeline, withdrawals, seed}),
        settlements(config),
        ledger({BillingHolder::kEntry, table, table, timeline, &settlements}),
        store_watch({settings.host, config, table, objects, RpcAddresses(settings)}),
        publisher({settings.host, incarnation, WitnessesOf(settings), RpcAddresses(settings),
                   config, table, table, objects, objects, timeline}),
        signer(settings.signing_key),
        attempts(channels, timeline),
        context{config, routes, ledger, attempts, timeline, signer, ids, store_watch},
        queries(
            {settings.host.value(), config, routes, ledger, timeline, OperatorAddresses(settings)}),
        commands(publisher, routes),
        rpc_methods({settings.host, incarnation, config, routes}),
        caller_handler(context, queries),
        operator_handler(commands, queries),
        rpc_handler(dispatcher) {
    withdrawals.SetPublisher(publisher);
    rpc_methods.RegisterAt(dispatcher);
  }

  void StartDuties() {
    timeline.Start();
    config.Start();
    routes.Start();
    settlements.Start();
    ledger.Start();
    withdrawals.Start();
    store_watch.Start();
  }

  Result<bool> Listen(const EntrySettings& settings) {
    BOOST_LEAF_ASSIGN(rpc_server, HttpServerBuilder()
                                      .Listen(settings.rpc)
                                      .Threads(kRpcThreads)
                                      .MaxBody(kMaxControlBody)
                                      .Handler(rpc_handler)
                                      .Build());
    BOOST_LEAF_ASSIGN(operator_server, HttpServerBuilder()
                                           .Listen(settings.operators)
                                           .Threads(kOperatorThreads)
                                           .MaxBody(kMaxControlBody)
                                           .Handler(operator_handler)
                                           .Build());
    BOOST_LEAF_ASSIGN(caller_server, HttpServerBuilder()
                                         .Listen(settings.callers)
                                         .Threads(settings.connections)
                                         .MaxBody(Bytes(config::kMaxBodyBytes))
                                         .Handler(caller_handler)
                                         .Build());
    return true;
  }

  IdGenerator& ids;
  HybridClock clock;
  TimelineDuty timeline;
  HttpTable table;
  HttpObjectStore objects;
  ConfigDuty config;
  WithdrawDuty withdrawals;
  RouteDuty routes;
  SettleDuty settlements;
  LedgerDuty ledger;
  StoreWatchDuty store_watch;
  Publisher publisher;
  TokenSigner signer;
  ChannelPool channels;
  AttemptClient attempts;
  RequestContext context;
  EntryQueries queries;
  EntryCommands commands;
  RpcDispatcher dispatcher;
  EntryRpc rpc_methods;
  CallerHandler caller_handler;
  OperatorHandler operator_handler;
  RpcHandler rpc_handler;
  std::unique_ptr<HttpServer> rpc_server;
  std::unique_ptr<HttpServer> operator_server;
  std::unique_ptr<HttpServer> caller_server;
};

EntryProcess::EntryProcess() = default;
EntryProcess::~EntryProcess() = default;

Result<std::unique_ptr<EntryProcess>> EntryProcess::Start(const EntrySettings& settings) {
  static IdGenerator ids;
  const IncarnationId incarnation(ids.Next("i-"));
  const std::uint64_t seed = std::hash<IncarnationId>{}(incarnation);
  std::unique_ptr<EntryProcess> process(new EntryProcess());
  process->parts_ = std::make_unique<Parts>(settings, ids, incarnation, seed);
  process->parts_->StartDuties();
  BOOST_LEAF_CHECK(process->parts_->Listen(settings));
  process->parts_->timeline.Record(Event::kStarted, RequestId(),
                                   "callers=" + settings.callers.ToString());
  return process;
}

void EntryProcess::Stop() {
  Parts& parts = *parts_;
  const auto deadline = std::chrono::steady_clock::now() + config::kGracePeriod;
  parts.timeline.Record(Event::kStopping, RequestId(), "");
  parts.queries.SetStopping();
  parts.routes.WaitUntil(std::chrono::steady_clock::now() + kBalancerDrainDelay,
                         [](const RouteSnapshot& /*snapshot*/) { return false; });
  const bool idle =
      parts.routes.WaitUntil(deadline, [](const RouteSnapshot& s) { return s.open_requests == 0; });
  const bool all_confirmed = parts.ledger.WaitUntilConfirmed(deadline);
  parts.timeline.Record(
      Event::kStopped, RequestId(),
      std::string("idle=") + (idle ? "yes" : "no") + " settled=" + (all_confirmed ? "yes" : "no"));
  parts.caller_server->Stop();
  parts.operator_server->Stop();
  parts.rpc_server->Stop();
  parts.store_watch.Stop();
  parts.withdrawals.Stop();
  parts.ledger.Stop();
  parts.settlements.Stop();
  parts.routes.Stop();
  parts.config.Stop();
  parts.timeline.Stop();
}

}  // namespace bamboodock
