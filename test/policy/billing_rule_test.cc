#include "bamboodock/policy/billing_rule.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/policy/billing_backlog.h"
#include "policy/at.h"

namespace bamboodock {

namespace {

BillingRecord Record(const char* request, std::uint32_t step, std::uint64_t cost) {
  BillingRecord record;
  record.request = RequestId(request);
  record.step = StepNumber(step);
  record.cost = CostMicros(cost);
  return record;
}

// Whether the record is due at the sidecar within 60 s.
bool SidecarWrites(Duration settle_timeout) {
  BillingBacklog backlog(4);
  const BillingRule rule(settle_timeout);
  backlog.Reserve();
  backlog.Add(Record("r", 0, 30), rule.WriteAt(BillingHolder::kSidecar, At(0)));
  return backlog.Due(At(60000)).has_value();
}

}  // namespace

class BillingRuleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BillingRuleTest);
  CPPUNIT_TEST(SidecarWritesForDeadEntry);
  CPPUNIT_TEST(UnreachableSettleTimeoutLosesRecord);
  CPPUNIT_TEST(EarlierStepNeverReplaces);
  CPPUNIT_TEST(LostAnswerIsReadAgain);
  CPPUNIT_TEST(FullBacklogRefusesNewWork);
  CPPUNIT_TEST(LaterStepReplacesQueuedRecord);
  CPPUNIT_TEST(DueInOrderOfWriteTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an answered request that is never billed because its entry has died.
  void SidecarWritesForDeadEntry() {
    const BillingRule rule(std::chrono::seconds(10));
    CPPUNIT_ASSERT(rule.WriteAt(BillingHolder::kEntry, At(5)) == At(5));
    CPPUNIT_ASSERT(rule.WriteAt(BillingHolder::kSidecar, At(5)) == At(10005));
    CPPUNIT_ASSERT(SidecarWrites(std::chrono::seconds(10)));
  }

  // Shows that the record is lost when the sidecar leaves the write to the entry.
  void UnreachableSettleTimeoutLosesRecord() {
    CPPUNIT_ASSERT(!SidecarWrites(std::chrono::hours(1000)));
  }

  // Guards against a row that loses the cost of later steps, and against billing a step twice.
  void EarlierStepNeverReplaces() {
    const BillingRecord first = Record("r", 0, 30);
    const BillingRecord second = Record("r", 1, 130);
    CPPUNIT_ASSERT(BillingRule::OnRow(std::nullopt, first) == BillingRowAction::kWrite);
    CPPUNIT_ASSERT(BillingRule::OnRow(first, second) == BillingRowAction::kWrite);
    CPPUNIT_ASSERT(BillingRule::OnRow(second, first) == BillingRowAction::kConfirmed);
    CPPUNIT_ASSERT(BillingRule::OnRow(second, second) == BillingRowAction::kConfirmed);
  }

  // Guards against discarding a record whose write may not have taken effect.
  void LostAnswerIsReadAgain() {
    CPPUNIT_ASSERT(BillingRule::OnWrite(BillingWriteOutcome::kAnswerLost) ==
                   BillingNextAction::kReadAgain);
    CPPUNIT_ASSERT(BillingRule::OnWrite(BillingWriteOutcome::kNotSent) == BillingNextAction::kWait);
  }

  // Guards against an answered request whose record does not fit into the backlog.
  void FullBacklogRefusesNewWork() {
    BillingBacklog backlog(2);
    CPPUNIT_ASSERT(backlog.Reserve());
    CPPUNIT_ASSERT(backlog.Reserve());
    CPPUNIT_ASSERT(!backlog.Reserve());
    backlog.Add(Record("r", 0, 1), At(0));
    CPPUNIT_ASSERT(!backlog.Reserve());
    CPPUNIT_ASSERT(backlog.Confirm(RequestId("r"), StepNumber(0)));
    CPPUNIT_ASSERT(backlog.Reserve());
  }

  // Guards against two records of one request, and a confirmation that removes a later step.
  void LaterStepReplacesQueuedRecord() {
    BillingBacklog backlog(4);
    backlog.Add(Record("r", 1, 130), At(10));
    backlog.Add(Record("r", 0, 30), At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, backlog.size());
    CPPUNIT_ASSERT_EQUAL(CostMicros(130), backlog.Due(At(10))->cost);
    CPPUNIT_ASSERT(!backlog.Confirm(RequestId("r"), StepNumber(0)));
    backlog.Add(Record("r", 2, 200), At(20));
    CPPUNIT_ASSERT(backlog.NextDue() == At(20));
  }

  // Guards against a record that is delayed behind one that is due later.
  void DueInOrderOfWriteTime() {
    BillingBacklog backlog(4);
    backlog.Add(Record("late", 0, 1), At(300));
    backlog.Add(Record("early", 0, 1), At(100));
    CPPUNIT_ASSERT(!backlog.Due(At(99)).has_value());
    CPPUNIT_ASSERT_EQUAL(RequestId("early"), backlog.Due(At(100))->request);
    backlog.Postpone(RequestId("early"), At(400));
    CPPUNIT_ASSERT_EQUAL(RequestId("late"), backlog.Due(At(400))->request);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BillingRuleTest);

}  // namespace bamboodock
