#include "bamboodock/policy/mean_event_interval.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {

using std::chrono::milliseconds;

class MeanEventIntervalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MeanEventIntervalTest);
  CPPUNIT_TEST(OneEventHasNoInterval);
  CPPUNIT_TEST(EventsThatArriveTogetherAreCountedOneByOne);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OneEventHasNoInterval() {
    MeanEventInterval pace;
    pace.Add(0, MonotonicTime(milliseconds(1)));
    pace.Add(1, MonotonicTime(milliseconds(9)));
    CPPUNIT_ASSERT(!pace.Interval());
  }

  // Guards against a version that seems slow because its events are merged on the way.
  void EventsThatArriveTogetherAreCountedOneByOne() {
    MeanEventInterval pace;
    pace.Add(1, MonotonicTime(milliseconds(100)));
    pace.Add(2, MonotonicTime(milliseconds(140)));
    pace.Add(2, MonotonicTime(milliseconds(180)));
    CPPUNIT_ASSERT(*pace.Interval() == milliseconds(20));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MeanEventIntervalTest);

}  // namespace bamboodock
