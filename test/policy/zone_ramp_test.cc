#include "bamboodock/policy/zone_ramp.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/policy/shedding.h"

namespace bamboodock {

class ZoneRampTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneRampTest);
  CPPUNIT_TEST(ShareRisesAfterReturn);
  CPPUNIT_TEST(LowPriorityIsShedFirst);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against full traffic to a returning zone, and against a ramp for a zone that has not
  // left service.
  void ShareRisesAfterReturn() {
    const MonotonicTime start{std::chrono::seconds(100)};
    ZoneRamp ramp(Ratio(0.1), std::chrono::seconds(60));
    ramp.MarkAvailable(start);
    CPPUNIT_ASSERT_EQUAL(Ratio(1.0), ramp.Share(start));
    ramp.MarkUnavailable();
    CPPUNIT_ASSERT_EQUAL(Ratio(0.0), ramp.Share(start));
    ramp.MarkAvailable(start);
    CPPUNIT_ASSERT_EQUAL(Ratio(0.1), ramp.Share(start));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.55, ramp.Share(start + std::chrono::seconds(30)).value(), 1e-9);
    CPPUNIT_ASSERT_EQUAL(Ratio(1.0), ramp.Share(start + std::chrono::seconds(60)));
  }

  // Guards against refusing requests of high priority while ones of lower priority are admitted.
  void LowPriorityIsShedFirst() {
    for (int percent = 0; percent < 150; ++percent) {
      const double load = percent / 100.0;
      for (int priority = 0; priority < 6; ++priority) {
        CPPUNIT_ASSERT(Shedding::Refusal(priority, Ratio(load)) <=
                       Shedding::Refusal(priority + 1, Ratio(load)));
      }
    }
    CPPUNIT_ASSERT_EQUAL(Ratio(0.0), Shedding::Refusal(9, Ratio(0.8)));
    CPPUNIT_ASSERT_EQUAL(Ratio(0.0), Shedding::Refusal(0, Ratio(1.0)));
    CPPUNIT_ASSERT_EQUAL(Ratio(1.0), Shedding::Refusal(1, Ratio(1.0)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneRampTest);

}  // namespace bamboodock
