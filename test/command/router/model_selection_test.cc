#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "bamboodock/command/router/route_state.h"
#include "fakes/fake_clock.h"
#include "fakes/fake_event_log.h"

namespace bamboodock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<ModelId> kModels{ModelId("m0"), ModelId("m1"), ModelId("m2")};

Route MakeRoute(bool resumable) {
  Route route;
  route.id = RouteId("r1");
  route.host = "h.example";
  route.prefix = "/";
  route.kind = RouteKind::kStream;
  route.resumable = resumable;
  route.max_attempts = 3;
  route.timeout = seconds(20);
  route.services = {{ServiceId("s1"), 1}};
  route.models = kModels;
  return route;
}

/// A repeat budget that no test uses up.
RouterLimits Limits() {
  RouterLimits limits;
  limits.repeats.extra = 1e6;
  return limits;
}

/// Planning state of one entry with idle engines.
struct Entry {
  explicit Entry(const std::string& host, bool resumable = true)
      : state({HostId(host), IncarnationId("i-" + host), AvailabilityZoneId("z1")}, Limits(), clock,
              Random(1), log) {
    RoutedService service{ServiceId("s1"), {}, {}, {}};
    service.models = {{kModels[0], 1}, {kModels[1], 7.5}, {kModels[2], 15}};
    OperatorDelta delta;
    delta.rows.emplace_back();
    delta.rows.back().config = RouteTableBuilder()
                                   .Version(ConfigVersion(1))
                                   .Add(MakeRoute(resumable))
                                   .Add(service)
                                   .Build();
    delta.covered_until = clock.Now();
    state.Apply(delta);
    for (const char* id : {"e1", "e2", "e3"}) {
      EndpointRecord record;
      record.id = EndpointId(id);
      record.service = service.id;
      record.slots = Concurrency(64);
      state.Apply(EndpointDelta{{record}, {}});
    }
  }

  PlanAnswer First(std::uint64_t expected_tokens) {
    auto request = MakeRef<CallerRequest>();
    request->host = "h.example";
    request->target = "/";
    request->metadata.attempt = AttemptId("a1");
    request->metadata.any_model = true;
    request->metadata.max_output_tokens = Tokens(1000);
    request->metadata.expected_output_tokens = Tokens(expected_tokens);
    request->arrived = clock.Now();
    query = PlanQuery();
    query.request = request;
    return state.Plan(query);
  }
  /// Plans the attempt after one whose answer had this confidence, and reports that. Each second
  /// answer of the smallest model suffices.
  PlanAnswer Next(const PlanAnswer& before, std::uint32_t confidence) {
    query.progress = before.plan->progress;
    ++query.progress.sent;
    query.confidence = confidence;
    query.reason = PlanReason::kNextModel;
    state.Apply(ConfidenceReport{query.progress, before.plan->model, confidence});
    if (before.plan->model == kModels[0]) {
      state.Apply(ConfidenceReport{query.progress, kModels[0], 90});
    }
    return state.Plan(query);
  }
  /// Complete stream of the smallest model with one event for each expected token.
  void EndStream(Duration interval) {
    AttemptReport report;
    report.service = ServiceId("s1");
    report.route = RouteId("r1");
    report.model = kModels[0];
    report.head_latency = milliseconds(300);
    report.event_interval = interval;
    report.stream_events = 100;
    report.expected_output_tokens = Tokens(100);
    state.Apply(report);
  }
  /// Streams of a model that are under way.
  void LearnPace(const ModelId& model, Duration interval) {
    UnderWayReport report;
    report.attempt.service = ServiceId("s1");
    report.attempt.route = RouteId("r1");
    report.attempt.model = model;
    report.attempt.head_latency = milliseconds(300);
    report.attempt.event_interval = interval;
    state.Apply(report);
  }

  FakeClock clock;
  FakeEventLog log;
  RouteState state;
  PlanQuery query;
};

}  // namespace

class ModelSelectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ModelSelectionTest);
  CPPUNIT_TEST(LongAnswersOfTheFirstSecondAreKept);
  CPPUNIT_TEST(AcceptanceIsSharedAndRepeatedReportsAreHarmless);
  CPPUNIT_TEST(RefusedEscalationDoesNotReturnToTheSmallestModel);
  CPPUNIT_TEST(FailedLargeModelFallsBackWhenTimeIsShort);
  CPPUNIT_TEST(StreamThatRunsOnceGetsTheSmallestModel);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that are escalated to a model whose answer cannot end before their
  // deadline, although the first short stream has shown how fast the engines are, and against
  // answers that are kept although nothing speaks against a larger model.
  void LongAnswersOfTheFirstSecondAreKept() {
    Entry entry("h1");
    CPPUNIT_ASSERT_EQUAL(100, Escalated(entry, 950));
    entry.EndStream(milliseconds(4));
    CPPUNIT_ASSERT_EQUAL(100, Escalated(entry, 50));
    CPPUNIT_ASSERT(Escalated(entry, 950) <= kMostProbes);
    entry.LearnPace(kModels[2], milliseconds(12));
    CPPUNIT_ASSERT_EQUAL(100, Escalated(entry, 950));
    for (int i = 0; i < 100; ++i) entry.LearnPace(kModels[2], milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(0, Escalated(entry, 950));
  }

  // Guards against entries that each have to learn alone that the middle model suffices, and
  // against one that believes what a repeated or impossible report says.
  void AcceptanceIsSharedAndRepeatedReportsAreHarmless() {
    Entry learned("h1");
    Entry other("h2");
    for (int i = 0; i < 10; ++i) learned.Next(learned.First(50), 20);
    PlanAnswer middle = other.Next(other.First(50), 20);
    CPPUNIT_ASSERT(middle.plan->model == kModels[1]);
    CPPUNIT_ASSERT(other.Next(middle, 20).plan->model == kModels[2]);
    PeerReport report = learned.state.MakeReport();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.acceptance.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20, report.acceptance[0].judged, 0.01);
    report.acceptance.push_back({0, 30, report.acceptance[0].route, 1, 0});
    report.acceptance.push_back({1e9, 2, report.acceptance[0].route, 1, 0});
    for (int i = 0; i < 50; ++i) other.state.Apply(report);
    CPPUNIT_ASSERT(other.Next(other.First(50), 20).plan->model == kModels[2]);
    report.acceptance = {{400, 400, report.acceptance[0].route, 1, 0}};
    other.state.Apply(report);
    CPPUNIT_ASSERT(other.Next(other.First(50), 20).plan->model == kModels[1]);
    CPPUNIT_ASSERT(other.state.MakeReport().acceptance.front().judged < 10);
  }

  // Guards against a request that pays for the smallest model again when an endpoint refuses the
  // larger one.
  void RefusedEscalationDoesNotReturnToTheSmallestModel() {
    Entry entry("h1");
    entry.query.progress = entry.Next(entry.First(50), 20).plan->progress;
    entry.query.reason = PlanReason::kNotRun;
    CPPUNIT_ASSERT(entry.state.Plan(entry.query).plan->model != kModels[0]);
  }

  // Guards against a repeat with a model that cannot answer any more in the time left.
  void FailedLargeModelFallsBackWhenTimeIsShort() {
    Entry entry("h1");
    entry.EndStream(milliseconds(4));
    entry.LearnPace(kModels[2], milliseconds(12));
    const PlanAnswer first = entry.First(950);
    entry.query.progress = first.plan->progress;
    entry.query.reason = PlanReason::kFailed;
    entry.query.model = kModels[2];
    CPPUNIT_ASSERT(entry.state.Plan(entry.query).plan->model == kModels[2]);
    entry.clock.Advance(seconds(12));
    CPPUNIT_ASSERT(entry.state.Plan(entry.query).plan->model == kModels[0]);
    entry.query.reason = PlanReason::kResume;
    CPPUNIT_ASSERT(entry.state.Plan(entry.query).plan->model == kModels[2]);
  }

  // Guards against a second run of a stream that may not be resumed.
  void StreamThatRunsOnceGetsTheSmallestModel() {
    Entry entry("h1", false);
    for (int i = 0; i < 50; ++i) {
      const PlanAnswer first = entry.First(50);
      CPPUNIT_ASSERT(first.plan->model == kModels[0] && !entry.Next(first, 0).plan);
    }
  }

 private:
  /// Of 100 requests, one of 16 on average may ask a model that has not been observed yet.
  static constexpr int kMostProbes = 16;

  /// Requests of 100 whose answer with a low confidence leads to a larger model.
  static int Escalated(Entry& entry, std::uint64_t expected_tokens) {
    int escalated = 0;
    for (int i = 0; i < 100; ++i) {
      PlanAnswer answer = entry.First(expected_tokens);
      CPPUNIT_ASSERT(answer.plan->model == kModels[0]);
      answer = entry.Next(answer, 20);
      escalated += answer.plan && answer.plan->model == kModels[2] ? 1 : 0;
      if (answer.plan && answer.plan->model == kModels[1]) {
        escalated += entry.Next(answer, 20).plan ? 1 : 0;
      }
    }
    return escalated;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ModelSelectionTest);

}  // namespace bamboodock
