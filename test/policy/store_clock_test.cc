#include "bamboodock/policy/store_clock.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {
namespace {

using std::chrono::milliseconds;

MonotonicTime At(int ms) { return MonotonicTime(milliseconds(ms)); }

}  // namespace

class StoreClockTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreClockTest);
  CPPUNIT_TEST(DelayedAnswerIsAsOldAsItsContent);
  CPPUNIT_TEST(AnswerIsNeverNewerThanItsReceipt);
  CPPUNIT_TEST(FirstAnswerIsAsOldAsItsQuery);
  CPPUNIT_TEST(RestartedStoreReplacesOffset);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against taking a long-poll answer that was delayed in transit for current.
  void DelayedAnswerIsAsOldAsItsContent() {
    StoreClock clock;
    clock.Observe(At(1000), milliseconds(50));
    clock.Observe(At(2000), milliseconds(3050));
    CPPUNIT_ASSERT(clock.EarliestAnswerTime(At(2000), At(6000), milliseconds(3050)) == At(4000));
  }

  // Guards against an answer time later than its receipt when the clocks drift.
  void AnswerIsNeverNewerThanItsReceipt() {
    StoreClock clock;
    clock.Observe(At(1000), milliseconds(50));
    CPPUNIT_ASSERT(clock.EarliestAnswerTime(At(2000), At(2100), milliseconds(9000)) == At(2100));
  }

  // Guards against an answer time later than the send time while the clock offset is unknown.
  void FirstAnswerIsAsOldAsItsQuery() {
    const StoreClock clock;
    CPPUNIT_ASSERT(clock.EarliestAnswerTime(At(2000), At(2100), milliseconds(70)) == At(2000));
  }

  // Guards against ages computed with the clock offset of a store process that was replaced.
  void RestartedStoreReplacesOffset() {
    StoreClock clock;
    clock.Observe(At(1000), milliseconds(900));
    clock.Observe(At(2000), milliseconds(10));
    CPPUNIT_ASSERT(clock.EarliestAnswerTime(At(2000), At(9000), milliseconds(510)) == At(2500));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClockTest);

}  // namespace bamboodock
