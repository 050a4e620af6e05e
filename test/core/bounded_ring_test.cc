#include "bamboodock/core/bounded_ring.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace bamboodock {

class BoundedRingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BoundedRingTest);
  CPPUNIT_TEST(FullRingRejectsPush);
  CPPUNIT_TEST(ClosedRingReturnsRemainingValues);
  CPPUNIT_TEST(CloseWakesWaitingReader);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a queue that grows silently and without a bound under overload.
  void FullRingRejectsPush() {
    BoundedRing<int> ring(2);
    CPPUNIT_ASSERT(ring.TryPush(1));
    CPPUNIT_ASSERT(ring.TryPush(2));
    CPPUNIT_ASSERT(!ring.TryPush(3));
    CPPUNIT_ASSERT_EQUAL(1, ring.Pop().value());
    CPPUNIT_ASSERT(ring.TryPush(3));
  }

  // Guards against the loss of the end of an answer when its writer has finished.
  void ClosedRingReturnsRemainingValues() {
    BoundedRing<int> ring(2);
    CPPUNIT_ASSERT(ring.TryPush(1));
    ring.Close();
    CPPUNIT_ASSERT(!ring.TryPush(2));
    CPPUNIT_ASSERT_EQUAL(1, ring.Pop().value());
    CPPUNIT_ASSERT(!ring.Pop().has_value());
  }

  // Guards against a thread that never ends after its producer has stopped.
  void CloseWakesWaitingReader() {
    BoundedRing<int> ring(1);
    std::thread reader([&] { CPPUNIT_ASSERT(!ring.Pop().has_value()); });
    ring.Close();
    reader.join();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedRingTest);

}  // namespace bamboodock
