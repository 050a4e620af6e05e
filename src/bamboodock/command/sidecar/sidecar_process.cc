#include "bamboodock/command/sidecar/sidecar_process.h"

#include <utility>

#include "bamboodock/command/config/config_duty.h"
#include "bamboodock/command/ledger/ledger_duty.h"
#include "bamboodock/command/sidecar/admission_duty.h"
#include "bamboodock/command/sidecar/attempt_session.h"
#include "bamboodock/command/sidecar/claim_duty.h"
#include "bamboodock/command/sidecar/lease_duty.h"
#include "bamboodock/command/sidecar/load_poll_duty.h"
#include "bamboodock/command/sidecar/runner_pool.h"
#include "bamboodock/command/sidecar/sidecar_rpc.h"
#include "bamboodock/command/sidecar/sync_duty.h"
#include "bamboodock/core/id_generator.h"
#include "bamboodock/query/sidecar/sidecar_queries.h"
#include "bamboodock/stores/http_table.h"
#include "bamboodock/transport/http_server.h"
#include "bamboodock/transport/rpc_client.h"

namespace bamboodock {
namespace {

/// HTTP routes: JSON-RPC commands on one path, queries on all others.
class SidecarHandler final : public HttpHandler {
 public:
  SidecarHandler(RpcDispatcher& dispatcher, SidecarQueries& queries)
      : dispatcher_(dispatcher), queries_(queries) {}

  void Handle(const HttpRequest& request, ResponseWriter& writer) override {
    if (request.path != kRpcPath) return writer.Send(queries_.Answer(request));
    writer.Send({200, {{"Content-Type", "application/json"}}, dispatcher_.Handle(request.body)});
  }

 private:
  RpcDispatcher& dispatcher_;
  SidecarQueries& queries_;
};

}  // namespace

struct SidecarProcess::Parts {
  explicit Parts(const SidecarSettings& settings, const IncarnationId& incarnation)
      : process(settings.endpoint.value()),
        timeline(clock),
        table(settings.platform, config::kControlTimeout),
        config(HostId(), {}, timeline),
        ledger({BillingHolder::kSidecar, table, table, timeline, nullptr}),
        runners({settings.upstream, ledger, timeline}, settings.runners),
        claims({incarnation, table, table, timeline, runners}),
        admission({settings.endpoint, incarnation, config, ledger, timeline, runners, claims}),
        load_poll(settings.upstream, admission),
        lease({settings.endpoint, incarnation, settings.upstream, table, table, config, timeline}),
        rpc_methods(config, ledger),
        queries(process, config, admission, timeline),
        handler(dispatcher, queries),
        sessions(incarnation, admission, clock) {
    claims.SetAdmission(admission);
    runners.SetReceivers(admission, claims);
    rpc_methods.RegisterAt(dispatcher);
    for (const Address& entry : settings.entries) {
      const SyncDuty::Parts parts{settings.endpoint, incarnation, config, admission, timeline};
      syncs.push_back(std::make_unique<SyncDuty>(parts, entry));
    }
  }

  void StartDuties() {
    timeline.Start();
    config.Start();
    ledger.Start();
    admission.Start();
    claims.Start();
    runners.Start();
    load_poll.Start();
    lease.Start();
    for (auto& sync : syncs) sync->Start();
  }

  std::string process;
  HybridClock clock;
  TimelineDuty timeline;
  HttpTable table;
  ConfigDuty config;
  LedgerDuty ledger;
  RunnerPool runners;
  ClaimDuty claims;
  AdmissionDuty admission;
  LoadPollDuty load_poll;
  LeaseDuty lease;
  std::vector<std::unique_ptr<SyncDuty>> syncs;
  RpcDispatcher dispatcher;
  SidecarRpc rpc_methods;
  SidecarQueries queries;
  SidecarHandler handler;
  AttemptSessionFactory sessions;
  std::unique_ptr<HttpServer> server;
};

SidecarProcess::SidecarProcess() = default;
SidecarProcess::~SidecarProcess() = default;

Result<std::unique_ptr<SidecarProcess>> SidecarProcess::Start(const SidecarSettings& settings) {
  IdGenerator ids;
  const IncarnationId incarnation(ids.Next("i-"));
  std::unique_ptr<SidecarProcess> process(new SidecarProcess());
  process->parts_ = std::make_unique<Parts>(settings, incarnation);
  Parts& parts = *process->parts_;
  parts.StartDuties();
  BOOST_LEAF_ASSIGN(parts.server, HttpServerBuilder()
                                      .Listen(settings.listen)
                                      .Threads(settings.connections)
                                      .Handler(parts.handler)
                                      .Messages(kAttemptPath, parts.sessions)
                                      .Build());
  parts.timeline.Record(
      Event::kStarted, RequestId(),
      "listen=" + settings.listen.ToString() + " incarnation=" + incarnation.value());
  return process;
}

void SidecarProcess::Stop() {
  Parts& parts = *parts_;
  const auto deadline = std::chrono::steady_clock::now() + config::kGracePeriod;
  parts.timeline.Record(Event::kStopping, RequestId(), "");
  parts.admission.PostUntil(LeaveCommand{}, deadline);
  for (auto& sync : parts.syncs) sync->Post(SyncNowCommand{});
  const bool idle = parts.admission.WaitIdle(deadline);
  const bool all_confirmed = parts.ledger.WaitUntilConfirmed(deadline);
  parts.timeline.Record(
      Event::kStopped, RequestId(),
      std::string("idle=") + (idle ? "yes" : "no") + " settled=" + (all_confirmed ? "yes" : "no"));
  for (auto& sync : parts.syncs) sync->Stop();
  parts.load_poll.Stop();
  parts.lease.Stop();
  parts.server->Stop();
  parts.claims.Stop();
  parts.runners.Stop();
  parts.admission.Stop();
  parts.ledger.Stop();
  parts.config.Stop();
  parts.timeline.Stop();
}

}  // namespace bamboodock
