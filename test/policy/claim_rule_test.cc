#include "bamboodock/policy/claim_rule.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {

namespace {

ClaimRow Row(const char* attempt, const char* owner, ClaimState state = ClaimState::kStarted,
             const char* call = "label-77") {
  ClaimRow row;
  row.attempt = AttemptId(attempt);
  row.owner = IncarnationId(owner);
  row.state = state;
  row.call = ObjectHash(call);
  return row;
}

// Two attempts read an absent row. The answers to both writes are lost, and only the first write
// takes effect.
int RunsAfterLostAnswers(ClaimWriteOutcome reported) {
  int runs = 0;
  for (const char* attempt : {"a", "b"}) {
    ClaimRule rule(Row(attempt, "sc/1"));
    rule.OnRow(std::nullopt);
    rule.OnWrite(reported);
    if (rule.step() == ClaimStep::kReadBack) rule.OnRow(Row("a", "sc/1"));
    if (rule.step() == ClaimStep::kRun) ++runs;
  }
  return runs;
}

}  // namespace

class ClaimRuleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimRuleTest);
  CPPUNIT_TEST(LostAnswerRunsOnce);
  CPPUNIT_TEST(LostAnswerTakenAsSuccessRunsTwice);
  CPPUNIT_TEST(AbsentRowAfterLostAnswerIsRefused);
  CPPUNIT_TEST(StartedRowOfEarlierIncarnationIsUnknown);
  CPPUNIT_TEST(FinishedRowAnswersRepeat);
  CPPUNIT_TEST(UnavailableStoreRefusesBeforeCall);
  CPPUNIT_TEST(ReusedKeyIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a second run of a call, such as a duplicate label, after a lost store answer.
  void LostAnswerRunsOnce() {
    CPPUNIT_ASSERT_EQUAL(1, RunsAfterLostAnswers(ClaimWriteOutcome::kAnswerLost));
  }

  // Shows that LostAnswerRunsOnce does not hold when a lost answer is taken as success.
  void LostAnswerTakenAsSuccessRunsTwice() {
    CPPUNIT_ASSERT_EQUAL(2, RunsAfterLostAnswers(ClaimWriteOutcome::kWritten));
  }

  // Guards against a run whose claim is a write that has not arrived yet.
  void AbsentRowAfterLostAnswerIsRefused() {
    ClaimRule rule(Row("a", "sc/1"));
    rule.OnRow(std::nullopt);
    CPPUNIT_ASSERT(rule.step() == ClaimStep::kWriteRow);
    rule.OnWrite(ClaimWriteOutcome::kAnswerLost);
    rule.OnRow(std::nullopt);
    CPPUNIT_ASSERT(rule.step() == ClaimStep::kRefuseNotRun);
    CPPUNIT_ASSERT(rule.release_later());
  }

  // Guards against a second run of a call that a sidecar started before its restart.
  void StartedRowOfEarlierIncarnationIsUnknown() {
    ClaimRule rule(Row("a", "sc/2"));
    rule.OnRow(Row("a", "sc/1"));
    CPPUNIT_ASSERT(rule.step() == ClaimStep::kAnswerUnknown);
    ClaimRule after_write(Row("a", "sc/2"));
    after_write.OnRow(std::nullopt);
    after_write.OnWrite(ClaimWriteOutcome::kAnswerLost);
    after_write.OnRow(Row("a", "sc/1"));
    CPPUNIT_ASSERT(after_write.step() == ClaimStep::kAnswerUnknown);
  }

  // Guards against a second run when a caller repeats a finished call.
  void FinishedRowAnswersRepeat() {
    ClaimRow finished = Row("a", "sc/1", ClaimState::kFinished);
    finished.body = "label 77 issued";
    ClaimRule rule(Row("b", "sc/2"));
    rule.OnRow(finished);
    CPPUNIT_ASSERT(rule.step() == ClaimStep::kAnswerStored);
    CPPUNIT_ASSERT_EQUAL(finished.body, rule.stored().body);
  }

  // Guards against a call without a durable claim.
  void UnavailableStoreRefusesBeforeCall() {
    ClaimRule read(Row("a", "sc/1"));
    read.OnReadFailed();
    CPPUNIT_ASSERT(read.step() == ClaimStep::kRefuseNotRun);
    CPPUNIT_ASSERT(!read.release_later());
    ClaimRule write(Row("a", "sc/1"));
    write.OnRow(std::nullopt);
    write.OnWrite(ClaimWriteOutcome::kNotSent);
    CPPUNIT_ASSERT(write.step() == ClaimStep::kRefuseNotRun);
    CPPUNIT_ASSERT(write.code() == ResultCode::kClaimUnavailable);
  }

  // Guards against answering one call with the result of another.
  void ReusedKeyIsRefused() {
    ClaimRule rule(Row("b", "sc/1", ClaimState::kStarted, "label-99"));
    rule.OnRow(Row("a", "sc/1", ClaimState::kFinished));
    CPPUNIT_ASSERT(rule.step() == ClaimStep::kRefuseNotRun);
    CPPUNIT_ASSERT(rule.code() == ResultCode::kKeyReused);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimRuleTest);

}  // namespace bamboodock
