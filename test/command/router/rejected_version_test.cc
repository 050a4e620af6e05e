#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <set>

#include "bamboodock/command/router/route_state.h"
#include "fakes/fake_clock.h"
#include "fakes/fake_event_log.h"

namespace bamboodock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("s1");
constexpr std::chrono::seconds kTimeLimit{24};
constexpr StoreEra kEra(1);
/// After the begin of a trial, before traffic moves.
constexpr seconds kIntoTrial{6};

using Versions = std::set<std::string>;

Route MakeServiceRoute() {
  Route route;
  route.id = RouteId("r1");
  route.host = "h.example";
  route.prefix = "/a/";
  route.kind = RouteKind::kSafe;
  route.allows_anonymous = true;
  route.max_attempts = 3;
  route.services = {{kService, 1}};
  return route;
}

Ref<const RouteTable> MakeRouteTable() {
  RouteTableBuilder builder;
  builder.Version(ConfigVersion(1)).Add(MakeServiceRoute());
  RoutedService service;
  service.id = kService;
  builder.Add(service);
  return builder.Build();
}

/// Endpoints of each version.
constexpr int kEndpoints = 4;

EndpointId MakeId(const std::string& version, int number) {
  return EndpointId("e-" + version + "-" + std::to_string(number));
}

EndpointRecord MakeEndpointOf(const std::string& version, int number) {
  EndpointRecord record;
  record.id = MakeId(version, number);
  record.service = kService;
  record.address = {"10.0.0.1", 80};
  record.availability_zone = AvailabilityZoneId("z1");
  record.version = VersionId(version);
  record.slots = Concurrency(64);
  record.started = StartTime(1);
  return record;
}

}  // namespace

/// Which versions an entry uses after a version was rejected, seen from outside of `RouteState`.
class RejectedVersionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RejectedVersionTest);
  CPPUNIT_TEST(NextOrderGivesARejectedVersionNoWork);
  CPPUNIT_TEST(SessionsStayWhenTheNextOrderFollowsARollback);
  CPPUNIT_TEST(AllVersionsRejectedInARowGetNoWork);
  CPPUNIT_TEST(EntryThatStartsAfterTheRollbackLearnsOfIt);
  CPPUNIT_TEST(EntryThatStartsAfterTheNextOrderLearnsOfIt);
  CPPUNIT_TEST(VerdictOutlivesARowThatLacksIt);
  CPPUNIT_TEST(OrderOfTheVersionInUseKeepsItsTraffic);
  CPPUNIT_TEST(VersionOrderedAgainIsTriedAgain);
  CPPUNIT_TEST(CancelledOrderOfABadVersionKeepsItWithoutWork);
  CPPUNIT_TEST(FailuresOfARejectedVersionDoNotCountForTheOldOne);
  CPPUNIT_TEST(SessionsOfAnUndecidedVersionStay);
  CPPUNIT_TEST(OnlyRejectedEndpointsLeftAreUsed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    clock_ = std::make_unique<FakeClock>();
    log_ = std::make_unique<FakeEventLog>();
    entry_ = StartEntry("h1");
    Register({"v1"});
    CPPUNIT_ASSERT(Used() == Versions{"v1"});
  }

  // Guards against a bad version that gets a full share of the requests as soon as the next order
  // is given (review/7).
  void NextOrderGivesARejectedVersionNoWork() {
    RollBack("v2", 41);
    Order("v3", 60);
    CPPUNIT_ASSERT(Used() == Versions{"v1"});
    BeginTrial();
    CPPUNIT_ASSERT(Used() == (Versions{"v1", "v3"}));
  }

  // Guards against sessions that change to a version that was rolled back, and back again when its
  // endpoints have left (review/7).
  void SessionsStayWhenTheNextOrderFollowsARollback() {
    RollBack("v2", 41);
    AssertSessionsRunOn("v1");
    Order("v3", 60);
    AssertSessionsRunOn("v1");
    WriteProgress();
    for (int step = 0; step < 3; ++step) {
      clock_->Advance(kIntoTrial / 3);
      entry_->Tick();
      AssertSessionsRunOn("v1");
    }
  }

  // Guards against a verdict that is lost with the second order after it.
  void AllVersionsRejectedInARowGetNoWork() {
    RollBack("v2", 41);
    RollBack("v3", 60);
    Order("v4", 80);
    CPPUNIT_ASSERT(Used() == Versions{"v1"});
    BeginTrial();
    CPPUNIT_ASSERT(Used() == (Versions{"v1", "v4"}));
  }

  // Guards against an entry that sends requests to a bad version, since it was not there when the
  // version was judged.
  void EntryThatStartsAfterTheRollbackLearnsOfIt() {
    RollBack("v2", 41);
    StartOther();
    Order("v3", 60);
    CPPUNIT_ASSERT(UsedBy(*other_) == Versions{"v1"});
  }

  // The same for an entry that reads the row of the next order only.
  void EntryThatStartsAfterTheNextOrderLearnsOfIt() {
    RollBack("v2", 41);
    RollBack("v3", 60);
    Order("v4", 80);
    BeginTrial();
    StartOther();
    Order("v4", 80);
    CPPUNIT_ASSERT(UsedBy(*other_).count("v2") == 0 && UsedBy(*other_).count("v3") == 0);
    CPPUNIT_ASSERT(UsedBy(*other_).count("v1") == 1);
  }

  // Guards against a verdict that is lost when an entry that doesn't know it writes the row first,
  // or when the store returns from an older copy.
  void VerdictOutlivesARowThatLacksIt() {
    RollBack("v2", 41);
    Order("v3", 60);
    RolloutProgress without;
    without.service = kService;
    without.target = VersionId("v3");
    without.order_revision = {kEra, 60};
    without.started = StoreNow();
    without.revision = {kEra, ++revision_};
    entry_->Apply(RouterDelta{{}, {without}});
    clock_->Advance(kIntoTrial);
    WriteProgress();
    StartOther();
    Order("v3", 60);
    CPPUNIT_ASSERT(Used().count("v2") == 0 && UsedBy(*other_).count("v2") == 0);
  }

  // Guards against an operator who orders the version in use, to be sure, and moves all requests to
  // the version that was rolled back.
  void OrderOfTheVersionInUseKeepsItsTraffic() {
    RollBack("v2", 41);
    Order("v1", 60);
    CPPUNIT_ASSERT(Used() == Versions{"v1"});
    WriteProgress();
    CPPUNIT_ASSERT(Used() == Versions{"v1"});
    BeginTrial();
    CPPUNIT_ASSERT(Used() == Versions{"v1"});
  }

  // Guards against a verdict that keeps a version without work though the operator orders it again.
  void VersionOrderedAgainIsTriedAgain() {
    RollBack("v2", 41);
    Order("v2", 60);
    BeginTrial();
    CPPUNIT_ASSERT(Used() == (Versions{"v1", "v2"}));
  }

  // Guards against a bad version that gets requests some seconds after its order was removed.
  void CancelledOrderOfABadVersionKeepsItWithoutWork() {
    Order("v2", 41);
    BeginTrial();
    ReportFailures();
    entry_->Tick();
    OperatorDelta removed;
    removed.rows.emplace_back();
    removed.rows.back().removed_rollout = kService;
    removed.covered_until = clock_->Now();
    entry_->Apply(removed);
    CPPUNIT_ASSERT(Used() == Versions{"v1"});
    clock_->Advance(seconds(5));
    CPPUNIT_ASSERT(Used() == Versions{"v1"});
  }

  // Guards against a bad target that passes, since late failures of an earlier version count for
  // the one that it is compared with.
  void FailuresOfARejectedVersionDoNotCountForTheOldOne() {
    RollBack("v2", 41);
    Order("v3", 60);
    BeginTrial();
    entry_->Apply(Answer("v2", MakeId("v2", 0), AttemptOutcome::kFailure));
    const RolloutEvidence evidence = entry_->MakeReport().rollouts.at(0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, evidence.old_answers.errors);
  }

  // Guards against sessions that leave the target of an order that was replaced before it was
  // decided, and against new work for that version.
  void SessionsOfAnUndecidedVersionStay() {
    Order("v2", 41);
    BeginTrial();
    std::set<std::string> moved;
    for (int i = 0; i < 200; ++i) {
      const std::string session = "session-" + std::to_string(i);
      if (VersionOf(session) == "v2") moved.insert(session);
    }
    CPPUNIT_ASSERT(!moved.empty());
    Order("v3", 60);
    WriteProgress();
    for (const std::string& session : moved) CPPUNIT_ASSERT(VersionOf(session) == "v2");
    CPPUNIT_ASSERT(Used() == Versions{"v1"});
  }

  // Guards against refusal of all requests when no other version is left.
  void OnlyRejectedEndpointsLeftAreUsed() {
    RollBack("v2", 41);
    EndpointDelta gone;
    for (int i = 0; i < kEndpoints; ++i) gone.removed.push_back(MakeId("v1", i));
    entry_->Apply(gone);
    CPPUNIT_ASSERT(Used() == Versions{"v2"});
  }

 private:
  std::unique_ptr<RouteState> StartEntry(const std::string& host) {
    auto entry = std::make_unique<RouteState>(
        RouterIdentity{HostId(host), IncarnationId(host + "-1"), AvailabilityZoneId("z1")},
        RouterLimits(), *clock_, Random(1), *log_);
    OperatorDelta delta;
    delta.rows.emplace_back();
    delta.rows.back().config = MakeRouteTable();
    delta.covered_until = clock_->Now();
    delta.store_now = StoreNow();
    delta.store_read = clock_->Now();
    entry->Apply(delta);
    entry->Apply(RouterDelta{});
    return entry;
  }
  /// Starts a second entry, which reads what the store holds now.
  void StartOther() {
    other_ = StartEntry("h2");
    EndpointDelta endpoints;
    for (const std::string& version : registered_) AddEndpoints(version, endpoints);
    other_->Apply(endpoints);
    if (stored_) other_->Apply(RouterDelta{{}, {*stored_}});
  }
  void ForEachEntry(const std::function<void(RouteState&)>& visit) {
    visit(*entry_);
    if (other_) visit(*other_);
  }
  static void AddEndpoints(const std::string& version, EndpointDelta& delta) {
    for (int i = 0; i < kEndpoints; ++i) delta.changed.push_back(MakeEndpointOf(version, i));
  }
  void Register(const Versions& versions) {
    EndpointDelta delta;
    for (const std::string& version : versions) {
      if (registered_.insert(version).second) AddEndpoints(version, delta);
    }
    ForEachEntry([&](RouteState& entry) { entry.Apply(delta); });
  }
  milliseconds StoreNow() const {
    return std::chrono::duration_cast<milliseconds>(clock_->Now().time_since_epoch()) +
           seconds(100);
  }
  /// Lets the operator order a version and the platform start its endpoints.
  void Order(const std::string& target, std::uint64_t revision) {
    order_ = {kEra, revision};
    OperatorDelta delta;
    delta.rows.emplace_back();
    delta.rows.back().rollout = RolloutOrder{kService, VersionId(target), kTimeLimit, order_};
    delta.covered_until = clock_->Now();
    delta.store_now = StoreNow();
    delta.store_read = clock_->Now();
    ForEachEntry([&](RouteState& entry) { entry.Apply(delta); });
    Register({target});
  }
  /// Has the first entry write what it has decided; all entries read it.
  void WriteProgress() {
    for (RolloutProgress progress : entry_->Tick()) {
      progress.revision = {kEra, ++revision_};
      stored_ = progress;
    }
    if (!stored_) return;
    ForEachEntry([&](RouteState& entry) { entry.Apply(RouterDelta{{}, {*stored_}}); });
  }
  void BeginTrial() {
    WriteProgress();
    clock_->Advance(kIntoTrial);
    ForEachEntry([](RouteState& entry) { entry.Tick(); });
  }
  /// Has another entry report that half of the target's answers are failures. This entry has seen
  /// none, so that it avoids no endpoint for its failures.
  void ReportFailures() {
    RolloutEvidence evidence{kService, order_, {}, {}, 0, {}};
    evidence.answers.answers = 40;
    evidence.answers.errors = 20;
    evidence.old_answers.answers = 40;
    entry_->Apply(PeerReport{HostId("h9"), IncarnationId("h9-1"), {evidence}, {}, {}});
  }
  /// Orders a version whose answers fail, until it is rolled back.
  void RollBack(const std::string& target, std::uint64_t revision) {
    Order(target, revision);
    BeginTrial();
    ReportFailures();
    WriteProgress();
    CPPUNIT_ASSERT(stored_->state == RolloutState::kRolledBack);
  }
  static AttemptReport Answer(const std::string& version, const EndpointId& endpoint,
                              AttemptOutcome outcome) {
    AttemptReport report;
    report.endpoint = endpoint;
    report.started = StartTime(1);
    report.service = kService;
    report.version = VersionId(version);
    report.outcome = outcome;
    report.head_latency = milliseconds(50);
    return report;
  }
  /// Plans a request and ends it; returns the version that it got.
  std::string VersionOf(RouteState& entry, const std::string& session, const std::string& attempt) {
    auto request = MakeRef<CallerRequest>();
    request->host = "h.example";
    request->target = "/a/";
    request->arrived = clock_->Now();
    request->metadata.attempt = AttemptId(attempt);
    request->metadata.session = SessionId(session);
    PlanQuery query;
    query.request = request;
    const PlanAnswer answer = entry.Plan(query);
    if (!answer.plan) return "";
    AttemptReport end =
        Answer(answer.plan->version.value(), answer.plan->endpoint, AttemptOutcome::kCancelled);
    end.head_latency.reset();
    entry.Apply(end);
    entry.Apply(SessionRequestEnd{kService, SessionId(session)});
    return answer.plan->version.value();
  }
  std::string VersionOf(const std::string& session) {
    return VersionOf(*entry_, session, "a-" + session);
  }
  /// Sends a request of each of many sessions, of which some fall into the share of a trial.
  void AssertSessionsRunOn(const std::string& version) {
    for (int i = 0; i < 60; ++i) {
      CPPUNIT_ASSERT_EQUAL(version, VersionOf("session-" + std::to_string(i)));
    }
  }
  /// Versions that requests without a session get.
  Versions UsedBy(RouteState& entry) {
    Versions versions;
    for (int i = 0; i < 200; ++i) versions.insert(VersionOf(entry, "", "a" + std::to_string(i)));
    return versions;
  }
  Versions Used() { return UsedBy(*entry_); }

  std::unique_ptr<FakeClock> clock_;
  std::unique_ptr<FakeEventLog> log_;
  std::unique_ptr<RouteState> entry_;
  std::unique_ptr<RouteState> other_;
  Versions registered_;
  /// Progress row in the store.
  std::optional<RolloutProgress> stored_;
  StoreRevision order_;
  std::uint64_t revision_ = 100;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RejectedVersionTest);

}  // namespace bamboodock
