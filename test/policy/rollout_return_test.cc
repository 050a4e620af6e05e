#include "bamboodock/policy/rollout_return.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {
namespace {

using std::chrono::milliseconds;

const ServiceId kService("s1");
const VersionId kTarget("v2");
const VersionId kOtherTarget("v3");
constexpr std::chrono::seconds kTimeLimit{24};

constexpr StoreRevision Before(std::uint64_t number) { return {StoreEra(1), number}; }
constexpr StoreRevision After(std::uint64_t number) { return {StoreEra(2), number}; }

RolloutOrder MakeOrder(StoreRevision revision, const VersionId& target = kTarget,
                       Duration time_limit = kTimeLimit) {
  return {kService, target, time_limit, revision};
}

RolloutProgress MakeProgress(StoreRevision order, RolloutState state, milliseconds started,
                             const VersionId& target = kTarget) {
  return {kService, target, order, state, started, After(42)};
}

RolloutProgress InState(RolloutState state, milliseconds started = milliseconds(1000)) {
  return MakeProgress(After(41), state, started);
}

}  // namespace

class RolloutReturnPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutReturnPolicyTest);
  CPPUNIT_TEST(HigherNumberOfOneEraIsANewOrder);
  CPPUNIT_TEST(OrderOfAnotherEraIsToldByWhatItSays);
  CPPUNIT_TEST(CancelledOrderIsTheSameUnderItsNumberOnly);
  CPPUNIT_TEST(OrderIsNamedByAllItsRevisions);
  CPPUNIT_TEST(ProgressBelongsToTheOrderOfItsTarget);
  CPPUNIT_TEST(FinalStatesAreFurtherThanRunning);
  CPPUNIT_TEST(RowsBehindTheKnownProgressAreOutdated);
  CPPUNIT_TEST(RowOfANewerOrderIsNotOutdated);
  CPPUNIT_TEST(EntriesRewriteInTheOrderOfTheirRanks);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an order that is ignored, since an earlier one says the same.
  void HigherNumberOfOneEraIsANewOrder() {
    const KnownRolloutOrder known(MakeOrder(Before(41)));
    CPPUNIT_ASSERT(known.Judge(MakeOrder(Before(60))) == RolloutOrderVerdict::kNew);
    CPPUNIT_ASSERT(known.Judge(MakeOrder(Before(41))) == RolloutOrderVerdict::kKnown);
    CPPUNIT_ASSERT(known.Judge(MakeOrder(Before(30), kOtherTarget)) == RolloutOrderVerdict::kKnown);
  }

  // Guards against a rollout that begins anew after a return, and one that does not begin at all.
  void OrderOfAnotherEraIsToldByWhatItSays() {
    const KnownRolloutOrder known(MakeOrder(Before(41)));
    for (const std::uint64_t number : {30, 41, 60}) {
      CPPUNIT_ASSERT(known.Judge(MakeOrder(After(number))) == RolloutOrderVerdict::kSame);
      CPPUNIT_ASSERT(known.Judge(MakeOrder(After(number), kOtherTarget)) ==
                     RolloutOrderVerdict::kNew);
      CPPUNIT_ASSERT(known.Judge(MakeOrder(After(number), kTarget, 2 * kTimeLimit)) ==
                     RolloutOrderVerdict::kNew);
    }
  }

  // Guards against a rollback that is undone by the row of the copy, and against an order that the
  // operator gives once more and that is ignored.
  void CancelledOrderIsTheSameUnderItsNumberOnly() {
    KnownRolloutOrder known(MakeOrder(Before(41)));
    known.Cancel();
    CPPUNIT_ASSERT(known.Judge(MakeOrder(After(41))) == RolloutOrderVerdict::kSame);
    CPPUNIT_ASSERT(known.Judge(MakeOrder(After(45))) == RolloutOrderVerdict::kNew);
    known.OnReadAgain(After(41));
    CPPUNIT_ASSERT(known.Judge(MakeOrder({StoreEra(3), 45})) == RolloutOrderVerdict::kSame);
  }

  // Guards against evidence of another entry that is dropped while one of the two has yet to read
  // the order that was written again, or comes from an earlier release.
  void OrderIsNamedByAllItsRevisions() {
    KnownRolloutOrder known(MakeOrder(Before(41)));
    known.OnReadAgain(After(30));
    CPPUNIT_ASSERT(known.IsNamedBy(Before(41)) && known.IsNamedBy(After(30)));
    CPPUNIT_ASSERT(!known.IsNamedBy(After(41)) && !known.IsNamedBy(Before(30)));
    CPPUNIT_ASSERT(known.IsNamedBy({StoreEra(), 30}) && !known.IsNamedBy({StoreEra(), 41}));
    for (std::uint64_t era = 3; era < 40; ++era) known.OnReadAgain({StoreEra(era), era});
    CPPUNIT_ASSERT(known.IsNamedBy({StoreEra(39), 39}) && known.IsNamedBy({StoreEra(38), 38}));
  }

  // Guards against the state of one order that is taken for that of another.
  void ProgressBelongsToTheOrderOfItsTarget() {
    KnownRolloutOrder known(MakeOrder(Before(41)));
    known.OnReadAgain(After(30));
    const auto of = [](StoreRevision order, const VersionId& target) {
      return MakeProgress(order, RolloutState::kRunning, milliseconds(0), target);
    };
    CPPUNIT_ASSERT(known.IsOrderOf(of(After(30), kTarget)));
    CPPUNIT_ASSERT(known.IsOrderOf(of(After(41), kTarget)));
    CPPUNIT_ASSERT(!known.IsOrderOf(of(After(41), kOtherTarget)));
    CPPUNIT_ASSERT(!known.IsOrderOf(of(After(35), kTarget)));
  }

  // Guards against a final state that is undone, and against entries that disagree about the
  // beginning of a rollout.
  void FinalStatesAreFurtherThanRunning() {
    const RolloutProgress running = InState(RolloutState::kRunning);
    for (const RolloutState final : {RolloutState::kCompleted, RolloutState::kRolledBack}) {
      CPPUNIT_ASSERT(IsFurther(InState(final), running) && !IsFurther(running, InState(final)));
      CPPUNIT_ASSERT(!IsFurther(InState(final), InState(RolloutState::kCompleted)));
      CPPUNIT_ASSERT(!IsFurther(InState(final), InState(RolloutState::kRolledBack)));
    }
    CPPUNIT_ASSERT(!IsFurther(running, running));
    CPPUNIT_ASSERT(IsFurther(InState(RolloutState::kRunning, milliseconds(500)), running));
  }

  // Guards against a state that stays lost.
  void RowsBehindTheKnownProgressAreOutdated() {
    KnownRolloutOrder known(MakeOrder(Before(41)));
    known.OnReadAgain(After(41));
    const RolloutProgress completed = InState(RolloutState::kCompleted);
    CPPUNIT_ASSERT(JudgeRolloutRow(known, completed, std::nullopt) == RolloutRowVerdict::kOutdated);
    CPPUNIT_ASSERT(JudgeRolloutRow(known, completed, InState(RolloutState::kRunning)) ==
                   RolloutRowVerdict::kOutdated);
    CPPUNIT_ASSERT(JudgeRolloutRow(known, completed, completed) == RolloutRowVerdict::kCurrent);
    CPPUNIT_ASSERT(JudgeRolloutRow(known, InState(RolloutState::kRunning), completed) ==
                   RolloutRowVerdict::kCurrent);
    known.OnReadAgain(After(53));
    CPPUNIT_ASSERT(JudgeRolloutRow(known, completed, completed) == RolloutRowVerdict::kOutdated);
  }

  // Guards against a newer order that loses its state, and one whose state is never written.
  void RowOfANewerOrderIsNotOutdated() {
    const KnownRolloutOrder known(MakeOrder(After(41)));
    const RolloutProgress completed = InState(RolloutState::kCompleted);
    const auto of = [](std::uint64_t order) {
      return MakeProgress(After(order), RolloutState::kRunning, milliseconds(0), kOtherTarget);
    };
    CPPUNIT_ASSERT(JudgeRolloutRow(known, completed, of(70)) == RolloutRowVerdict::kOfNewerOrder);
    CPPUNIT_ASSERT(JudgeRolloutRow(known, completed, of(20)) == RolloutRowVerdict::kOutdated);
  }

  // Guards against several hundred entries that write the same row at once.
  void EntriesRewriteInTheOrderOfTheirRanks() {
    CPPUNIT_ASSERT(RewriteDelay(0) == milliseconds(0));
    CPPUNIT_ASSERT(RewriteDelay(1) == milliseconds(2000));
    CPPUNIT_ASSERT(RewriteDelay(2) == milliseconds(2250));
    for (std::uint32_t rank = 0; rank < 700; ++rank) {
      CPPUNIT_ASSERT(RewriteDelay(rank) < RewriteDelay(rank + 1));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutReturnPolicyTest);

}  // namespace bamboodock
