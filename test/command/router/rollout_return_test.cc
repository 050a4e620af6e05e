#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/command/router/rollout_controller.h"
#include "fakes/fake_event_log.h"

namespace bamboodock {
namespace {

using std::chrono::milliseconds;

const ServiceId kService("s1");
const VersionId kTarget("v2");
const VersionId kOtherTarget("v3");
constexpr std::chrono::seconds kTimeLimit{24};
constexpr milliseconds kStarted{1000};
/// Time on the store's clock during the trial of the target.
constexpr milliseconds kDuringTrial{6000};
/// Time at which the time limit has nearly passed.
constexpr milliseconds kNearEnd{24000};
/// Time at which all traffic has moved, but requests may still be open at the old version.
constexpr milliseconds kMoved{1000 + 17000};

constexpr StoreRevision Before(std::uint64_t number) { return {StoreEra(1), number}; }
constexpr StoreRevision After(std::uint64_t number) { return {StoreEra(2), number}; }

RolloutOrder MakeOrder(StoreRevision revision, const VersionId& target = kTarget) {
  return {kService, target, kTimeLimit, revision};
}

RolloutProgress MakeRow(StoreRevision order, RolloutState state, StoreRevision revision,
                        const VersionId& target = kTarget) {
  return {kService, target, order, state, kStarted, revision};
}

RolloutEvidence MakeEvidence(StoreRevision order) {
  RolloutEvidence evidence{kService, order, {}, {}, 0, {}};
  evidence.answers.answers = 20;
  return evidence;
}

AttemptReport FailedAnswer() {
  AttemptReport report;
  report.service = kService;
  report.version = kTarget;
  report.outcome = AttemptOutcome::kFailure;
  report.head_latency = milliseconds(50);
  return report;
}

}  // namespace

/// What a rollout keeps when the store has returned from an older copy.
class RolloutReturnTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutReturnTest);
  CPPUNIT_TEST(OrderWrittenAgainKeepsItsState);
  CPPUNIT_TEST(OrderWrittenAgainKeepsItsEvidence);
  CPPUNIT_TEST(EvidenceUnderAnEarlierRevisionCounts);
  CPPUNIT_TEST(OrderOfAnotherTargetBeginsAnew);
  CPPUNIT_TEST(OrderGivenAgainInOneEraBeginsAnew);
  CPPUNIT_TEST(EarlierStateOfTheCopyIsReplaced);
  CPPUNIT_TEST(MissingRowIsWrittenAgain);
  CPPUNIT_TEST(RowOfAnotherEraIsNotExpected);
  CPPUNIT_TEST(EntriesOfLowerRankLetOthersWriteFirst);
  CPPUNIT_TEST(FurtherStateIsTakenOver);
  CPPUNIT_TEST(RowOfANewerOrderIsKept);
  CPPUNIT_TEST(RollbackOfACancelledOrderStays);
  CPPUNIT_TEST(BadTargetOfACancelledOrderStaysExcluded);
  CPPUNIT_TEST(EntryThatEndsAfterACancellationHoldsNothingOpen);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    controller_.ApplyOrder(MakeOrder(Before(41)));
    controller_.Apply(MakeRow(Before(41), RolloutState::kRunning, Before(42)));
  }

  // Guards against a completed rollout that begins anew, since its order has been written again.
  void OrderWrittenAgainKeepsItsState() {
    Complete();
    controller_.ApplyOrder(MakeOrder(After(30)));
    CPPUNIT_ASSERT(controller_.IsTargetOnly(kService));
  }

  // Guards against a trial that has to collect its answers once more.
  void OrderWrittenAgainKeepsItsEvidence() {
    controller_.OnReport(FailedAnswer(), {});
    controller_.Tick(kDuringTrial, {});
    controller_.ApplyOrder(MakeOrder(After(30)));
    const RolloutEvidence evidence = controller_.Evidence().at(0);
    CPPUNIT_ASSERT(evidence.order_revision == After(30));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, evidence.answers.answers);
    CPPUNIT_ASSERT(controller_.PrefersTarget(kService, 0, 1) == true);
  }

  // Guards against evidence that is dropped, since one of two entries has already read the order
  // that was written again.
  void EvidenceUnderAnEarlierRevisionCounts() {
    controller_.ApplyOrder(MakeOrder(After(30)));
    controller_.Apply(IncarnationId("other"), MakeEvidence(Before(41)));
    controller_.Tick(kNearEnd, {});
    CPPUNIT_ASSERT(controller_.PrefersTarget(kService, 0.99, 2) == true);
  }

  // Guards against a new order that inherits the final state of another target.
  void OrderOfAnotherTargetBeginsAnew() {
    Complete();
    controller_.ApplyOrder(MakeOrder(After(30), kOtherTarget));
    CPPUNIT_ASSERT(!controller_.IsTargetOnly(kService) && controller_.IsTargetExcluded(kService));
  }

  // Guards against an order that is never carried out, since the target was tried before.
  void OrderGivenAgainInOneEraBeginsAnew() {
    Complete();
    controller_.ApplyOrder(MakeOrder(Before(60)));
    CPPUNIT_ASSERT(!controller_.IsTargetOnly(kService) && controller_.IsTargetExcluded(kService));
  }

  // Guards against a completed rollout that is undone, since the copy holds its earlier state.
  void EarlierStateOfTheCopyIsReplaced() {
    Complete();
    controller_.ApplyOrder(MakeOrder(After(41)));
    controller_.Apply(MakeRow(After(41), RolloutState::kRunning, After(42)));
    CPPUNIT_ASSERT(controller_.IsTargetOnly(kService));
    const auto writes = controller_.Tick(kDuringTrial, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, writes.size());
    CPPUNIT_ASSERT(writes[0].state == RolloutState::kCompleted && writes[0].started == kStarted);
    CPPUNIT_ASSERT(writes[0].order_revision == After(41) && writes[0].revision == After(42));
  }

  // Guards against a state that stays lost, since the copy holds no row of the rollout.
  void MissingRowIsWrittenAgain() {
    Complete();
    controller_.RemoveProgress(kService);
    controller_.ApplyOrder(MakeOrder(After(30)));
    const auto writes = controller_.Tick(kDuringTrial, {});
    CPPUNIT_ASSERT(writes.size() == 1 && writes[0].state == RolloutState::kCompleted);
    CPPUNIT_ASSERT(writes[0].order_revision == After(30) && writes[0].revision == After(0));
  }

  // Guards against a write that expects a revision of the lost history, which may have been given
  // out again, and against one that names an order of it.
  void RowOfAnotherEraIsNotExpected() {
    Complete();
    controller_.ApplyOrder(MakeOrder(After(30)));
    CPPUNIT_ASSERT(controller_.Tick(kDuringTrial, {}).empty());
    controller_.ApplyOrder(MakeOrder(After(35), kOtherTarget));
    CPPUNIT_ASSERT(controller_.Tick(kDuringTrial, {}).empty());
    controller_.Apply(MakeRow(After(20), RolloutState::kRunning, After(25)));
    const auto writes = controller_.Tick(kDuringTrial, {});
    CPPUNIT_ASSERT(writes.size() == 1 && writes[0].target == kOtherTarget);
    CPPUNIT_ASSERT(writes[0].revision == After(25));
  }

  // Guards against several hundred entries that write the same row at once.
  void EntriesOfLowerRankLetOthersWriteFirst() {
    const std::map<ServiceId, RolloutInputs> third{{kService, {0, 2}}};
    Complete();
    controller_.ApplyOrder(MakeOrder(After(41)));
    controller_.Apply(MakeRow(After(41), RolloutState::kRunning, After(42)));
    CPPUNIT_ASSERT(controller_.Tick(kDuringTrial, third).empty());
    CPPUNIT_ASSERT(controller_.Tick(kDuringTrial + milliseconds(2200), third).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         controller_.Tick(kDuringTrial + milliseconds(2250), third).size());
    controller_.Apply(MakeRow(After(41), RolloutState::kCompleted, After(43)));
    CPPUNIT_ASSERT(controller_.Tick(kNearEnd, third).empty());
  }

  // Guards against a decision of another entry that is written over.
  void FurtherStateIsTakenOver() {
    controller_.ApplyOrder(MakeOrder(After(41)));
    controller_.Apply(MakeRow(After(41), RolloutState::kCompleted, After(50)));
    CPPUNIT_ASSERT(controller_.IsTargetOnly(kService));
    CPPUNIT_ASSERT(controller_.Tick(kDuringTrial, {}).empty());
  }

  // Guards against the state of a newer order, which this entry has yet to read, being lost.
  void RowOfANewerOrderIsKept() {
    Complete();
    controller_.ApplyOrder(MakeOrder(After(41)));
    controller_.Apply(MakeRow(After(70), RolloutState::kRunning, After(71), kOtherTarget));
    CPPUNIT_ASSERT(controller_.Tick(kDuringTrial, {}).empty());
    CPPUNIT_ASSERT(controller_.IsTargetOnly(kService));
  }

  // Guards against a version that was rolled back and gets requests again, since the copy holds the
  // order that the operator has cancelled.
  void RollbackOfACancelledOrderStays() {
    controller_.Apply(MakeRow(Before(41), RolloutState::kRolledBack, Before(50)));
    controller_.Cancel(kService);
    controller_.Apply(MakeRow(After(41), RolloutState::kRunning, After(42)));
    controller_.ApplyOrder(MakeOrder(After(41)));
    CPPUNIT_ASSERT(controller_.IsTargetExcluded(kService));
    const auto writes = controller_.Tick(kNearEnd, {});
    CPPUNIT_ASSERT(writes.size() == 1 && writes[0].state == RolloutState::kRolledBack);
    CPPUNIT_ASSERT(writes[0].revision == After(42));
  }

  // Guards against a trial of a version that was found to be bad before its order was cancelled.
  void BadTargetOfACancelledOrderStaysExcluded() {
    for (int i = 0; i < 12; ++i) controller_.OnReport(FailedAnswer(), {});
    controller_.Tick(kDuringTrial, {});
    controller_.Cancel(kService);
    controller_.Apply(MakeRow(After(41), RolloutState::kRunning, After(42)));
    controller_.ApplyOrder(MakeOrder(After(41)));
    CPPUNIT_ASSERT(controller_.IsTargetExcluded(kService));
  }

  // Guards against a rollout that waits for requests of an entry that has ended while its order was
  // cancelled.
  void EntryThatEndsAfterACancellationHoldsNothingOpen() {
    RolloutEvidence evidence = MakeEvidence(Before(41));
    evidence.open_at_old = 4;
    controller_.Apply(IncarnationId("other"), evidence);
    controller_.Cancel(kService);
    controller_.OnEntryEnded(IncarnationId("other"));
    controller_.Apply(MakeRow(After(41), RolloutState::kRunning, After(42)));
    controller_.ApplyOrder(MakeOrder(After(41)));
    controller_.Tick(kMoved, {});
    const auto writes = controller_.Tick(kMoved, {});
    CPPUNIT_ASSERT(writes.size() == 1 && writes[0].state == RolloutState::kCompleted);
  }

 private:
  void Complete() {
    controller_.Apply(MakeRow(Before(41), RolloutState::kCompleted, Before(50)));
    CPPUNIT_ASSERT(controller_.IsTargetOnly(kService));
  }

  FakeEventLog log_;
  RolloutController controller_{ExposureLimits{}, log_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutReturnTest);

}  // namespace bamboodock
