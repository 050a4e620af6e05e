#include "bamboodock/command/router/rollout_controller.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/policy/random.h"
#include "fakes/fake_event_log.h"

namespace bamboodock {
namespace {

using std::chrono::milliseconds;

const ServiceId kService("s1");
const VersionId kTarget("v2");
constexpr std::chrono::seconds kTimeLimit{24};

constexpr StoreEra kEra(1);

StoreRevision At(std::uint64_t number) { return {kEra, number}; }

RolloutOrder MakeOrder(std::uint64_t revision) {
  return {kService, kTarget, kTimeLimit, At(revision)};
}

RolloutProgress Progress(std::uint64_t order_revision, RolloutState state) {
  return {kService, kTarget, At(order_revision), state, milliseconds(1000), At(5)};
}

AttemptReport Report(AttemptOutcome outcome) {
  AttemptReport report;
  report.service = kService;
  report.version = kTarget;
  report.outcome = outcome;
  report.head_latency = milliseconds(50);
  return report;
}

}  // namespace

class RolloutControllerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutControllerTest);
  CPPUNIT_TEST(EvidenceOfOtherEntriesCounts);
  CPPUNIT_TEST(RestartedEntryKeepsItsEvidence);
  CPPUNIT_TEST(StreamThatStallsUnderWayIsSlow);
  CPPUNIT_TEST(BadVersionIsExcludedAtOnce);
  CPPUNIT_TEST(OldProgressDoesNotCompleteNewOrder);
  CPPUNIT_TEST(TrialExposureIsBounded);
  CPPUNIT_TEST(HeldBackSessionsAreRemembered);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    controller_.ApplyOrder(MakeOrder(41));
    controller_.Apply(Progress(41, RolloutState::kRunning));
  }

  // Guards against an entry with little traffic that keeps the old version because it has too few
  // answers of its own (quiet-1 of EMVA, seed 487797827099).
  void EvidenceOfOtherEntriesCounts() {
    RolloutEvidence evidence{kService, At(41), {}, {}, 0, {}};
    evidence.answers.answers = 20;
    controller_.Apply(IncarnationId("other"), evidence);
    controller_.Tick(milliseconds(1000 + 23500), {});
    CPPUNIT_ASSERT(controller_.PrefersTarget(kService, 0.99, 2) == true);
  }

  // Guards against evidence that is lost when an entry restarts.
  void RestartedEntryKeepsItsEvidence() {
    RolloutEvidence evidence{kService, At(41), {}, {}, 4, {}};
    evidence.answers.answers = 20;
    controller_.Apply(IncarnationId("first"), evidence);
    controller_.Tick(milliseconds(2000), {});
    controller_.OnEntryEnded(IncarnationId("first"));
    evidence.answers.answers = 1;
    evidence.open_at_old = 0;
    controller_.Apply(IncarnationId("second"), evidence);
    controller_.Tick(milliseconds(1000 + 23000), {});
    CPPUNIT_ASSERT(controller_.PrefersTarget(kService, 0.99, 2) == true);
    const auto writes = controller_.Tick(milliseconds(1000 + 23000), {});
    CPPUNIT_ASSERT(writes.size() == 1 && writes[0].state == RolloutState::kCompleted);
  }

  // Guards against a version whose streams begin well and then stall, and against a late stream
  // that counts twice.
  void StreamThatStallsUnderWayIsSlow() {
    AttemptReport report = Report(AttemptOutcome::kSilent);
    report.early_event_interval = milliseconds(45);
    for (const bool late : {false, true}) {
      controller_.OnUnderWay(report, {late, false, false});
      controller_.OnReport(report, {late, false, false});
    }
    const EvidenceCounters counters = controller_.Evidence().at(0).answers;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, counters.answers);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, counters.slow);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, counters.silent);
  }

  // Guards against a bad version that keeps its traffic until the new state is written to the
  // store.
  void BadVersionIsExcludedAtOnce() {
    controller_.Tick(milliseconds(1000 + 5000), {});
    CPPUNIT_ASSERT(!controller_.IsTargetExcluded(kService));
    for (int i = 0; i < 12; ++i) controller_.OnReport(Report(AttemptOutcome::kFailure), {});
    const auto writes = controller_.Tick(milliseconds(1000 + 5000), {});
    CPPUNIT_ASSERT(writes.size() == 1 && writes[0].state == RolloutState::kRolledBack);
    CPPUNIT_ASSERT(writes[0].revision == At(5));
    CPPUNIT_ASSERT(controller_.IsTargetExcluded(kService));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log_.Count(Event::kRolloutJudgedBad));
  }

  // Guards against a new order that inherits the final state of the previous one.
  void OldProgressDoesNotCompleteNewOrder() {
    controller_.Apply(Progress(41, RolloutState::kCompleted));
    CPPUNIT_ASSERT(controller_.IsTargetOnly(kService));
    controller_.ApplyOrder(MakeOrder(60));
    CPPUNIT_ASSERT(!controller_.IsTargetOnly(kService) && controller_.IsTargetExcluded(kService));
    const auto writes = controller_.Tick(milliseconds(9000), {});
    CPPUNIT_ASSERT(writes.size() == 1 && writes[0].order_revision == At(60));
    CPPUNIT_ASSERT(writes[0].revision == At(5) && writes[0].state == RolloutState::kRunning);
  }

  // Guards against a version on trial that receives more requests than the exposure bound, with
  // random traffic.
  void TrialExposureIsBounded() {
    const ExposureLimits limits{Ratio(0.15), 30};
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Random random(seed);
      RolloutController controller(limits, log_);
      controller.ApplyOrder(MakeOrder(41));
      controller.Apply(Progress(41, RolloutState::kRunning));
      controller.Tick(milliseconds(1000 + 5000), {});
      std::uint64_t target_requests = 0;
      for (std::uint64_t sent = 1; sent <= 2000; ++sent) {
        const bool target = *controller.PrefersTarget(kService, random.Uniform() * 0.2, 1);
        controller.OnSend(kService, target);
        target_requests += target ? 1 : 0;
        CPPUNIT_ASSERT(static_cast<double>(target_requests) <=
                       0.15 * static_cast<double>(sent) + 30);
      }
    }
  }

  // Guards against a session that changes its version when another entry serves it.
  void HeldBackSessionsAreRemembered() {
    const MonotonicTime now(milliseconds(100));
    controller_.HoldBack(kService, SessionHash(9), now);
    CPPUNIT_ASSERT(controller_.IsHeldBack(kService, SessionHash(9), now));
    CPPUNIT_ASSERT(!controller_.IsHeldBack(kService, SessionHash(8), now));
    CPPUNIT_ASSERT(!controller_.IsHeldBack(kService, SessionHash(9), now + milliseconds(1)));
  }

 private:
  FakeEventLog log_;
  RolloutController controller_{ExposureLimits{}, log_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutControllerTest);

}  // namespace bamboodock
