#include "bamboodock/policy/store_era_tracker.h"

#include <cppunit/extensions/HelperMacros.h>

#include "policy/at.h"

namespace bamboodock {

/// Era of the store over its answers (incident store-returns-from-copy).
class StoreEraTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreEraTrackerTest);
  CPPUNIT_TEST(FirstEraIsNoReturn);
  CPPUNIT_TEST(HigherEraIsAReturn);
  CPPUNIT_TEST(LateAnswerOfAnEarlierEraIsTold);
  CPPUNIT_TEST(LowerEraOfALaterCallIsAReturn);
  CPPUNIT_TEST(AnswerWithoutEraChangesNothing);
  CPPUNIT_TEST(OtherEntryThatIsAheadIsTold);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a listing of all tables after each start.
  void FirstEraIsNoReturn() {
    CPPUNIT_ASSERT(Observe(3, 100, 110) == EraVerdict::kCurrent);
    CPPUNIT_ASSERT(tracker_.era() == StoreEra(3));
  }

  void HigherEraIsAReturn() {
    Observe(3, 100, 110);
    CPPUNIT_ASSERT(Observe(4, 120, 130) == EraVerdict::kReturned);
    CPPUNIT_ASSERT(Observe(4, 120, 131) == EraVerdict::kCurrent);
    // Two returns between two answers.
    CPPUNIT_ASSERT(Observe(6, 140, 150) == EraVerdict::kReturned);
  }

  // Guards against rows of before the loss that replace those of after it.
  void LateAnswerOfAnEarlierEraIsTold() {
    Observe(3, 100, 110);
    Observe(4, 120, 130);
    CPPUNIT_ASSERT(Observe(3, 125, 140) == EraVerdict::kLate);
    CPPUNIT_ASSERT(tracker_.era() == StoreEra(4));
  }

  // Guards against an entry that drops all answers for ever after one wrong era.
  void LowerEraOfALaterCallIsAReturn() {
    Observe(3, 100, 110);
    Observe(1'000'000'000'000, 120, 130);
    CPPUNIT_ASSERT(Observe(3, 131, 140) == EraVerdict::kReturned);
    CPPUNIT_ASSERT(tracker_.era() == StoreEra(3));
  }

  void AnswerWithoutEraChangesNothing() {
    CPPUNIT_ASSERT(tracker_.Observe({}, At(1), At(2)) == EraVerdict::kCurrent);
    Observe(3, 100, 110);
    CPPUNIT_ASSERT(tracker_.Observe({}, At(120), At(130)) == EraVerdict::kCurrent);
    CPPUNIT_ASSERT(tracker_.era() == StoreEra(3));
  }

  // Guards against an entry whose call waits in the feed, and that learns of the return last.
  void OtherEntryThatIsAheadIsTold() {
    CPPUNIT_ASSERT(!tracker_.IsBehind(StoreEra(4)));
    Observe(3, 100, 110);
    CPPUNIT_ASSERT(tracker_.IsBehind(StoreEra(4)));
    CPPUNIT_ASSERT(!tracker_.IsBehind(StoreEra(3)));
    CPPUNIT_ASSERT(!tracker_.IsBehind(StoreEra(2)));
  }

 private:
  EraVerdict Observe(std::uint64_t era, int sent_ms, int now_ms) {
    return tracker_.Observe(StoreEra(era), At(sent_ms), At(now_ms));
  }

  StoreEraTracker tracker_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreEraTrackerTest);

}  // namespace bamboodock
