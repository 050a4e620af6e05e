#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "bamboodock/codec/peer_codec.h"
#include "bamboodock/command/router/peer_duty.h"
#include "bamboodock/command/router/route_state.h"
#include "fakes/fake_clock.h"
#include "fakes/fake_event_log.h"

namespace bamboodock {
namespace {

using std::chrono::seconds;

const ServiceId kService("s1");
constexpr seconds kTimeLimit{40};
constexpr StoreRevision kOrder{StoreEra(1), 41};
constexpr int kSessions = 300;

EndpointRecord MakeEndpointOf(const std::string& version) {
  EndpointRecord record;
  record.id = EndpointId("e-" + version);
  record.service = kService;
  record.address = {"10.0.0.1", 80};
  record.availability_zone = AvailabilityZoneId("z1");
  record.version = VersionId(version);
  record.slots = Concurrency(10000);
  record.started = StartTime(1);
  return record;
}

OperatorDelta MakeConfiguration(MonotonicTime now) {
  Route route;
  route.id = RouteId("r1");
  route.host = "h.example";
  route.prefix = "/a/";
  route.kind = RouteKind::kStream;
  route.allows_anonymous = true;
  route.timeout = seconds(20);
  route.services = {{kService, 1}};
  RoutedService service;
  service.id = kService;
  RouteTableBuilder builder;
  builder.Version(ConfigVersion(1)).Add(route).Add(service);
  OperatorDelta delta;
  delta.rows.emplace_back();
  delta.rows.back().config = builder.Build();
  delta.covered_until = now;
  return delta;
}

PlanQuery MakeQuery(int session, MonotonicTime now) {
  auto request = MakeRef<CallerRequest>();
  request->host = "h.example";
  request->target = "/a/";
  request->arrived = now;
  request->metadata.attempt = AttemptId("a" + std::to_string(session));
  request->metadata.session = SessionId("session-" + std::to_string(session));
  PlanQuery query;
  query.request = request;
  return query;
}

}  // namespace

/// Sessions whose requests run for longer than the session timeout while a version is on trial.
class RunningSessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunningSessionTest);
  CPPUNIT_TEST(SessionStaysWhileItsRequestRuns);
  CPPUNIT_TEST(OtherEntryIsToldOfRunningRequests);
  CPPUNIT_TEST(ShortRequestBesideALongOneKeepsTheSession);
  CPPUNIT_TEST(ManySessionsAreToldInParts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    clock_ = std::make_unique<FakeClock>();
    log_ = std::make_unique<FakeEventLog>();
    entry_ = StartEntry("h1");
    other_ = StartEntry("h2");
    Send(*entry_, 0, kSessions);
  }

  // Guards against sessions that change to the version on trial, since their pin ends while their
  // request runs (review/8).
  void SessionStaysWhileItsRequestRuns() {
    BeginTrial();
    CPPUNIT_ASSERT_EQUAL(0, CountOnTarget(*entry_, kSessions));
  }

  // The same for the next request of the session through another entry.
  void OtherEntryIsToldOfRunningRequests() {
    BeginTrial();
    other_->Apply(entry_->MakeReport());
    CPPUNIT_ASSERT_EQUAL(0, CountOnTarget(*other_, kSessions));
  }

  // Guards against a pin that ends since a short request of the session has ended, while the long
  // one that began before it runs on.
  void ShortRequestBesideALongOneKeepsTheSession() {
    for (int session = 0; session < kSessions; ++session) EndAttempt(Send(*entry_, session));
    BeginTrial();
    CPPUNIT_ASSERT_EQUAL(0, CountOnTarget(*entry_, kSessions));
  }

  // Guards against reports that each receiver drops, since they do not fit into a datagram.
  void ManySessionsAreToldInParts() {
    constexpr int kManySessions = 6000;
    constexpr int kReports = 6;
    Send(*entry_, kSessions, kManySessions);
    BeginTrial();
    for (int i = 0; i < kReports; ++i) {
      const PeerReport report = entry_->MakeReport();
      CPPUNIT_ASSERT(EncodePeerReport(report).size() <= PeerDuty::kMaxDatagramSize);
      other_->Apply(report);
    }
    CPPUNIT_ASSERT_EQUAL(0, CountOnTarget(*other_, kManySessions));
  }

 private:
  std::unique_ptr<RouteState> StartEntry(const std::string& host) {
    auto entry = std::make_unique<RouteState>(
        RouterIdentity{HostId(host), IncarnationId(host + "-1"), AvailabilityZoneId("z1")},
        RouterLimits(), *clock_, Random(1), *log_);
    entry->Apply(MakeConfiguration(clock_->Now()));
    entry->Apply(RouterDelta{});
    entry->Apply(EndpointDelta{{MakeEndpointOf("v1")}, {}});
    return entry;
  }
  /// Orders v2; 9 s later its trial is under way, and the first requests still run.
  void BeginTrial() {
    OperatorDelta order;
    order.rows.emplace_back();
    order.rows.back().rollout = RolloutOrder{kService, VersionId("v2"), kTimeLimit, kOrder};
    order.covered_until = clock_->Now();
    order.store_now = seconds(5);
    order.store_read = clock_->Now();
    RolloutProgress progress;
    progress.service = kService;
    progress.target = VersionId("v2");
    progress.order_revision = kOrder;
    progress.started = seconds(5);
    for (RouteState* entry : {entry_.get(), other_.get()}) {
      entry->Apply(order);
      entry->Apply(RouterDelta{{}, {progress}});
      entry->Apply(EndpointDelta{{MakeEndpointOf("v2")}, {}});
    }
    clock_->Advance(seconds(9));
    for (RouteState* entry : {entry_.get(), other_.get()}) {
      entry->Tick();
      entry->Tick();
    }
  }
  AttemptPlan Send(RouteState& entry, int session) {
    const PlanAnswer answer = entry.Plan(MakeQuery(session, clock_->Now()));
    CPPUNIT_ASSERT(answer.plan.has_value());
    return *answer.plan;
  }
  void EndAttempt(const AttemptPlan& plan) {
    AttemptReport report;
    report.endpoint = plan.endpoint;
    report.started = plan.started;
    report.service = kService;
    report.version = plan.version;
    entry_->Apply(report);
  }
  void Send(RouteState& entry, int first, int end) {
    for (int session = first; session < end; ++session) Send(entry, session);
  }
  /// Sends the next request of each session; returns how many get the target.
  int CountOnTarget(RouteState& entry, int sessions) {
    int on_target = 0;
    for (int session = 0; session < sessions; ++session) {
      if (Send(entry, session).version == VersionId("v2")) ++on_target;
    }
    return on_target;
  }

  std::unique_ptr<FakeClock> clock_;
  std::unique_ptr<FakeEventLog> log_;
  std::unique_ptr<RouteState> entry_;
  std::unique_ptr<RouteState> other_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunningSessionTest);

}  // namespace bamboodock
