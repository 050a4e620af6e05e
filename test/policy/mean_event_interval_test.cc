#include "bamboodock/policy/mean_event_interval.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {

using std::chrono::milliseconds;

class MeanEventIntervalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MeanEventIntervalTest);
  CPPUNIT_TEST(OneEventHasNoInterval);
  CPPUNIT_TEST(EventsReadTogetherAreCountedIndividually);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a division by zero for streams with fewer than two events.
  void OneEventHasNoInterval() {
    MeanEventInterval mean;
    mean.Add(0, MonotonicTime(milliseconds(1)));
    mean.Add(1, MonotonicTime(milliseconds(9)));
    CPPUNIT_ASSERT(!mean.Interval());
  }

  // Guards against a version that is taken for slow because the network merges its events into
  // fewer reads.
  void EventsReadTogetherAreCountedIndividually() {
    MeanEventInterval mean;
    mean.Add(1, MonotonicTime(milliseconds(100)));
    mean.Add(2, MonotonicTime(milliseconds(140)));
    mean.Add(2, MonotonicTime(milliseconds(180)));
    CPPUNIT_ASSERT(*mean.Interval() == milliseconds(20));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MeanEventIntervalTest);

}  // namespace bamboodock
