#include "bamboodock/policy/attempt_registry.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "policy/at.h"

namespace bamboodock {

namespace {

const IncarnationId kIncarnation("sc/1");
constexpr std::chrono::seconds kMargin(30);

AttemptStart Message(const std::string& attempt, std::int64_t deadline = 5000) {
  return {AttemptId(attempt), kIncarnation, At(deadline)};
}

}  // namespace

class AttemptRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttemptRegistryTest);
  CPPUNIT_TEST(RefusalIsFinal);
  CPPUNIT_TEST(DeadlineFromReceiptStartsDelayedDuplicate);
  CPPUNIT_TEST(DuplicateResumesOrReplays);
  CPPUNIT_TEST(EarlierIncarnationIsNotStarted);
  CPPUNIT_TEST(ReusedIncarnationStartsDelayedDuplicate);
  CPPUNIT_TEST(WithdrawnAttemptStaysRefused);
  CPPUNIT_TEST(FullRegistryDoesNotClaimNotRun);
  CPPUNIT_TEST(ExpiresInDeadlineOrder);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a run of an attempt whose caller was told "not run".
  void RefusalIsFinal() {
    AttemptRegistry registry(kIncarnation, 4, kMargin);
    const auto refused = registry.Refuse(Message("a"), ResultCode::kEndpointAtLimit, At(0));
    CPPUNIT_ASSERT(refused.verdict == AttemptVerdict::kRefused);
    CPPUNIT_ASSERT(refused.run == RunState::kNotRun);
    const auto duplicate = registry.Start(Message("a"), At(100));
    CPPUNIT_ASSERT(duplicate.verdict == AttemptVerdict::kLateCopy);
    CPPUNIT_ASSERT(duplicate.code == ResultCode::kEndpointAtLimit);
    registry.Expire(At(60000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry.size());
    const auto late = registry.Start(Message("a"), At(60000));
    CPPUNIT_ASSERT(late.verdict == AttemptVerdict::kPastDeadline);
    CPPUNIT_ASSERT(late.run == RunState::kUnknown);
    const auto fresh = registry.Start(Message("b", 59000), At(60000));
    CPPUNIT_ASSERT(fresh.run == RunState::kNotRun);
  }

  // Shows that RefusalIsFinal does not hold when the deadline is computed from the time of receipt.
  void DeadlineFromReceiptStartsDelayedDuplicate() {
    AttemptRegistry registry(kIncarnation, 4, kMargin);
    registry.Refuse(Message("a"), ResultCode::kEndpointAtLimit, At(0));
    registry.Expire(At(60000));
    const auto duplicate = registry.Start(Message("a", 60000 + 5000), At(60000));
    CPPUNIT_ASSERT(duplicate.verdict == AttemptVerdict::kStart);
  }

  // Guards against a second run when an entry repeats a `start` message after a timeout.
  void DuplicateResumesOrReplays() {
    AttemptRegistry registry(kIncarnation, 4, kMargin);
    CPPUNIT_ASSERT(registry.Start(Message("a"), At(0)).verdict == AttemptVerdict::kStart);
    const auto duplicate = registry.Start(Message("a"), At(10));
    CPPUNIT_ASSERT(duplicate.verdict == AttemptVerdict::kAlreadyRunning);
    const auto refusal = registry.Refuse(Message("a"), ResultCode::kStopping, At(10));
    CPPUNIT_ASSERT(refusal.verdict == AttemptVerdict::kAlreadyRunning);
    CPPUNIT_ASSERT(registry.Finish(AttemptId("a")));
    CPPUNIT_ASSERT(registry.Start(Message("a"), At(20)).verdict == AttemptVerdict::kFinished);
    CPPUNIT_ASSERT(registry.Lookup(AttemptId("a")).run == RunState::kRan);
  }

  // Guards against a run, or a "not run" answer, for an attempt that an earlier incarnation may
  // have started.
  void EarlierIncarnationIsNotStarted() {
    AttemptRegistry registry(IncarnationId("sc/2"), 4, kMargin);
    const auto duplicate = registry.Start(Message("a"), At(0));
    CPPUNIT_ASSERT(duplicate.verdict == AttemptVerdict::kEarlierIncarnation);
    CPPUNIT_ASSERT(duplicate.run == RunState::kUnknown);
    CPPUNIT_ASSERT(registry.Lookup(AttemptId("a")).run == RunState::kUnknown);
  }

  // Shows that EarlierIncarnationIsNotStarted does not hold when a restart reuses the incarnation.
  void ReusedIncarnationStartsDelayedDuplicate() {
    AttemptRegistry before(kIncarnation, 4, kMargin);
    before.Refuse(Message("a"), ResultCode::kEndpointAtLimit, At(0));
    AttemptRegistry after(kIncarnation, 4, kMargin);
    CPPUNIT_ASSERT(after.Start(Message("a"), At(10)).verdict == AttemptVerdict::kStart);
  }

  // Guards against a run of an attempt that was refused because its claim failed.
  void WithdrawnAttemptStaysRefused() {
    AttemptRegistry registry(kIncarnation, 4, kMargin);
    registry.Start(Message("a"), At(0));
    CPPUNIT_ASSERT(registry.Withdraw(AttemptId("a"), ResultCode::kClaimUnavailable));
    CPPUNIT_ASSERT(!registry.Withdraw(AttemptId("a"), ResultCode::kClaimUnavailable));
    CPPUNIT_ASSERT(!registry.Finish(AttemptId("a")));
    CPPUNIT_ASSERT(registry.Start(Message("a"), At(5)).verdict == AttemptVerdict::kLateCopy);
  }

  // Guards against unbounded memory, and against a "not run" answer whose refusal is not recorded.
  void FullRegistryDoesNotClaimNotRun() {
    AttemptRegistry registry(kIncarnation, 1, kMargin);
    registry.Start(Message("a"), At(0));
    const auto second = registry.Start(Message("b"), At(0));
    CPPUNIT_ASSERT(second.verdict == AttemptVerdict::kRefused);
    CPPUNIT_ASSERT(second.run == RunState::kNotRun);
    CPPUNIT_ASSERT(registry.Start(Message("c"), At(0)).run == RunState::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, registry.size());
  }

  // Guards against records that expire before their deadline plus the margin.
  void ExpiresInDeadlineOrder() {
    AttemptRegistry registry(kIncarnation, 4, kMargin);
    registry.Start(Message("late", 20000), At(0));
    registry.Start(Message("early", 5000), At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry.Expire(At(34999)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.Expire(At(35000)));
    CPPUNIT_ASSERT(registry.Lookup(AttemptId("late")).verdict == AttemptVerdict::kAlreadyRunning);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.started());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptRegistryTest);

}  // namespace bamboodock
