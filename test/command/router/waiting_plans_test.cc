#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/command/router/route_state.h"
#include "fakes/fake_clock.h"
#include "fakes/fake_event_log.h"

namespace bamboodock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("s1");
constexpr std::uint32_t kSlots = 4;

class IgnoredPlan final : public PlanReceiver {
 public:
  void OnPlan(PlanAnswer /*answer*/) override {}
};

EndpointRecord MakeEndpoint(const std::string& id) {
  EndpointRecord record;
  record.id = EndpointId(id);
  record.service = kService;
  record.address = {"10.0.0.1", 80};
  record.version = VersionId("v1");
  record.slots = Concurrency(kSlots);
  record.started = StartTime(1);
  return record;
}

}  // namespace

/// Requests that wait for their first plan.
class WaitingPlansTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitingPlansTest);
  CPPUNIT_TEST(FreeSlotWakesTheFirstRequest);
  CPPUNIT_TEST(ServiceIsNotFullWithoutRecentReports);
  CPPUNIT_TEST(FirstRequestIsSentWhenNoSlotIsSeenToBecomeFree);
  CPPUNIT_TEST(HopelessRequestIsRefusedOnce);
  CPPUNIT_TEST(UrgentRequestIsServedFirst);
  CPPUNIT_TEST(CallerThatReturnsAtItsTimeGoesFirst);
  CPPUNIT_TEST(CancelledRequestIsNotPlanned);
  CPPUNIT_TEST(RemovedEndpointDoesNotLoseTheRequestThatItWakes);
  CPPUNIT_TEST(MissingConfigurationIsWaitedForAsLongAsBefore);
  CPPUNIT_TEST(PauseOfAllEndpointsIsNotWaitedFor);
  CPPUNIT_TEST(FullQueueRefusesTheLastRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    log_ = std::make_unique<FakeEventLog>();
    clock_ = std::make_unique<FakeClock>();
    state_ = std::make_unique<RouteState>(
        RouterIdentity{HostId("h1"), IncarnationId("i1"), AvailabilityZoneId("z1")}, RouterLimits(),
        *clock_, Random(1), *log_);
  }

  // Guards against requests that are sent to full endpoints, and against slots that nobody uses.
  void FreeSlotWakesTheFirstRequest() {
    FillService();
    CPPUNIT_ASSERT(!Ask("w1") && !Ask("w2") && Woken().empty());
    End();
    const auto woken = Woken();
    CPPUNIT_ASSERT(woken.size() == 1 && woken[0].answer.plan);
    CPPUNIT_ASSERT(woken[0].receiver == receivers_["w1"]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state_->waiting().requests);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, log_->Count(Event::kRequestWaits));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log_->Count(Event::kRequestWoken));
  }

  // Guards against requests that wait for endpoints of which nothing has been heard.
  void ServiceIsNotFullWithoutRecentReports() {
    Install();
    state_->Apply(EndpointDelta{{MakeEndpoint("e1")}, {}});
    for (int i = 0; i < 20; ++i) CPPUNIT_ASSERT(Ask("a" + std::to_string(i))->plan);
    setUp();
    FillService();
    clock_->Advance(milliseconds(3100));
    CPPUNIT_ASSERT(Ask("w1")->plan);
  }

  // Guards against requests that wait for slots that other entries see to become free.
  void FirstRequestIsSentWhenNoSlotIsSeenToBecomeFree() {
    FillService();
    CPPUNIT_ASSERT(!Ask("w1") && !Ask("w2"));
    const MonotonicTime due = state_->next_wake();
    CPPUNIT_ASSERT(due > clock_->Now() && due <= clock_->Now() + seconds(1));
    clock_->Advance(due - clock_->Now());
    const auto woken = Woken();
    CPPUNIT_ASSERT(woken.size() == 1 && woken[0].answer.plan);
    CPPUNIT_ASSERT(state_->next_wake() > clock_->Now());
  }

  // Guards against requests that wait until their caller has given up, and are sent after that.
  void HopelessRequestIsRefusedOnce() {
    FillService();
    CPPUNIT_ASSERT(!Ask("w1", milliseconds(40)));
    clock_->Advance(milliseconds(40));
    const auto woken = Woken();
    CPPUNIT_ASSERT(woken.size() == 1 && !woken[0].answer.plan);
    const Failure& refusal = woken[0].answer.refusal;
    CPPUNIT_ASSERT(refusal.code == ResultCode::kOverloaded && refusal.run == RunState::kNotRun);
    CPPUNIT_ASSERT(refusal.retry_after >= milliseconds(100));
    End();
    CPPUNIT_ASSERT(Woken().empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state_->waiting().refused_hopeless);
  }

  // Guards against the priority of the route where the account has one of its own.
  void UrgentRequestIsServedFirst() {
    FillService();
    CPPUNIT_ASSERT(!Ask("w1") && !Ask("w2", seconds(9), "urgent"));
    End();
    CPPUNIT_ASSERT(Woken().front().receiver == receivers_["w2"]);
  }

  // Guards against a new caller that overtakes one that has returned as it was told.
  void CallerThatReturnsAtItsTimeGoesFirst() {
    FillService();
    Ask("w1", milliseconds(40));
    clock_->Advance(milliseconds(40));
    const Duration after = Woken().front().answer.refusal.retry_after;
    CPPUNIT_ASSERT(!Ask("new", seconds(20)));
    clock_->Advance(after);
    state_->Apply(Head());
    CPPUNIT_ASSERT(!Ask("w1", milliseconds(300)));
    End();
    CPPUNIT_ASSERT(Woken().front().receiver == receivers_["w1"]);
  }

  // Guards against a slot that is given to a caller that has left.
  void CancelledRequestIsNotPlanned() {
    FillService();
    CPPUNIT_ASSERT(!Ask("w1") && !Ask("w2"));
    state_->Apply(PlanCancellation{receivers_["w1"]});
    state_->Apply(PlanCancellation{receivers_["w1"]});
    End();
    const auto woken = Woken();
    CPPUNIT_ASSERT(woken.size() == 1 && woken[0].receiver == receivers_["w2"]);
    CPPUNIT_ASSERT(state_->next_wake() == MonotonicTime::max());
  }

  // Guards against a request that is lost when its endpoint goes at the moment of its wake-up.
  void RemovedEndpointDoesNotLoseTheRequestThatItWakes() {
    FillService();
    CPPUNIT_ASSERT(!Ask("w1"));
    End();
    state_->Apply(EndpointDelta{{}, {EndpointId("e1")}});
    CPPUNIT_ASSERT(Woken().empty());
    state_->Apply(EndpointDelta{{MakeEndpoint("e2")}, {}});
    const auto woken = Woken();
    CPPUNIT_ASSERT(woken.size() == 1 && woken[0].answer.plan->endpoint == EndpointId("e2"));
  }

  // Guards against a shorter or longer wait for a missing configuration than with polling.
  void MissingConfigurationIsWaitedForAsLongAsBefore() {
    CPPUNIT_ASSERT(!Ask("w1") && !Ask("w2"));
    clock_->Advance(milliseconds(100));
    CPPUNIT_ASSERT(Woken().empty());
    clock_->Advance(milliseconds(50));
    const auto refused = Woken();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, refused.size());
    CPPUNIT_ASSERT(refused[0].answer.refusal.code == ResultCode::kNoConfiguration);
    CPPUNIT_ASSERT(!Ask("w3"));
    Install();
    CPPUNIT_ASSERT(Woken().empty());
    state_->Apply(EndpointDelta{{MakeEndpoint("e1")}, {}});
    CPPUNIT_ASSERT(Woken().front().answer.plan);
  }

  // Guards against requests that wait although the end of the refusal is known.
  void PauseOfAllEndpointsIsNotWaitedFor() {
    FillService();
    HeadReport pause = Head();
    pause.retry_after = seconds(2);
    state_->Apply(pause);
    const auto answer = Ask("w1");
    CPPUNIT_ASSERT(answer && answer->refusal.code == ResultCode::kEndpointAtLimit);
    CPPUNIT_ASSERT(answer->refusal.retry_after == seconds(2));
  }

  // Guards against memory without a bound in front of a full service.
  void FullQueueRefusesTheLastRequest() {
    FillService();
    for (std::size_t i = 0; i < WaitingQueue::kCapacity; ++i) {
      CPPUNIT_ASSERT(!Ask("w" + std::to_string(i)));
    }
    CPPUNIT_ASSERT(Ask("last")->refusal.code == ResultCode::kOverloaded);
    CPPUNIT_ASSERT(!Ask("first", seconds(9), "urgent"));
    CPPUNIT_ASSERT(Woken().front().answer.refusal.run == RunState::kNotRun);
    CPPUNIT_ASSERT_EQUAL(WaitingQueue::kCapacity, state_->waiting().requests);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state_->waiting().refused_queue_full);
  }

 private:
  void Install() {
    Route route;
    route.id = RouteId("r1");
    route.host = "h.example";
    route.prefix = "/a/";
    route.kind = RouteKind::kStream;
    route.latency_objective = seconds(3);
    route.priority = Priority(2);
    route.services = {{kService, 1}};
    RoutedService service;
    service.id = kService;
    RouteTableBuilder builder;
    builder.Version(ConfigVersion(1)).Add(route).Add(service);
    builder.Add(ApiKey("plain"), RoutedAccount{ClientAccountId("plain"), std::nullopt});
    builder.Add(ApiKey("urgent"), RoutedAccount{ClientAccountId("urgent"), Priority(0)});
    OperatorDelta delta;
    delta.rows.emplace_back();
    delta.rows.back().config = builder.Build();
    delta.covered_until = clock_->Now();
    state_->Apply(delta);
    state_->Apply(RouterDelta{});
  }
  static HeadReport Head() {
    HeadReport report;
    report.endpoint = EndpointId("e1");
    report.started = StartTime(1);
    report.load = ReportedLoad{Concurrency(kSlots), Concurrency(0), Concurrency(kSlots)};
    return report;
  }
  /// Registers an endpoint and fills its slots with requests of this entry.
  void FillService() {
    Install();
    state_->Apply(EndpointDelta{{MakeEndpoint("e1")}, {}});
    for (std::uint32_t i = 0; i < kSlots; ++i) CPPUNIT_ASSERT(Ask("a" + std::to_string(i))->plan);
    state_->Apply(Head());
  }
  /// Ends one attempt at the endpoint.
  void End() {
    AttemptReport report;
    report.endpoint = EndpointId("e1");
    report.started = StartTime(1);
    report.service = kService;
    report.sent = true;
    state_->Apply(report);
  }
  std::optional<PlanAnswer> Ask(const std::string& id, Duration left = seconds(9),
                                const std::string& key = "plain") {
    auto request = MakeRef<CallerRequest>();
    request->host = "h.example";
    request->target = "/a/1";
    request->arrived = clock_->Now();
    request->metadata.attempt = AttemptId(id);
    request->metadata.key = ApiKey(key);
    request->metadata.time_left = left;
    PlanQuery query;
    query.request = request;
    query.receiver = receivers_[id] = MakeRef<IgnoredPlan>();
    return state_->PlanOrWait(query);
  }
  std::vector<PlannedAttempt> Woken() { return state_->TakeWoken(); }

  std::unique_ptr<FakeEventLog> log_;
  std::unique_ptr<FakeClock> clock_;
  std::unique_ptr<RouteState> state_;
  std::map<std::string, Ref<PlanReceiver>> receivers_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingPlansTest);

}  // namespace bamboodock
