#include "bamboodock/policy/admission_ramp.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {

class AdmissionRampTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionRampTest);
  CPPUNIT_TEST(ColdEndpointAdmitsNoMoreThanColdLimit);
  CPPUNIT_TEST(GrowsToWarmLimitAndNotBeyond);
  CPPUNIT_TEST(ResetsOnEachSignOfCold);
  CPPUNIT_TEST(AnswersFromBeforeTheResetDoNotRaiseLimit);
  CPPUNIT_TEST(GrowthBeginsAfterTheLastColdReport);
  CPPUNIT_TEST(UnusedLimitDoesNotGrow);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against full load on an endpoint that has just started.
  void ColdEndpointAdmitsNoMoreThanColdLimit() {
    CPPUNIT_ASSERT(ramp_.TryAdmit());
    CPPUNIT_ASSERT(ramp_.TryAdmit());
    CPPUNIT_ASSERT(!ramp_.TryAdmit());
    ramp_.OnCancelled();
    CPPUNIT_ASSERT(ramp_.TryAdmit());
    CPPUNIT_ASSERT_EQUAL(Concurrency(2), ramp_.in_flight());
  }

  // Guards against a limit that never reaches the warm limit, or exceeds it.
  void GrowsToWarmLimitAndNotBeyond() {
    Warm();
    CPPUNIT_ASSERT_EQUAL(Concurrency(8), ramp_.limit());
  }

  // Guards against full load on an endpoint that turned cold without notice.
  void ResetsOnEachSignOfCold() {
    Warm();
    ramp_.OnTurnedCold();
    CPPUNIT_ASSERT_EQUAL(Concurrency(2), ramp_.limit());
    Warm();
    Answer(kInTime, false);
    CPPUNIT_ASSERT_EQUAL(Concurrency(2), ramp_.limit());
    Warm();
    Answer(kTarget * AdmissionRamp::kSlowFactor + Duration(1), true);
    CPPUNIT_ASSERT_EQUAL(Concurrency(2), ramp_.limit());
  }

  // Guards against growth caused by streams that began while the endpoint was still warm.
  void AnswersFromBeforeTheResetDoNotRaiseLimit() {
    Warm();
    while (ramp_.TryAdmit()) {
    }
    ramp_.OnTurnedCold();
    for (int i = 0; i < 8; ++i) ramp_.OnFinished(kInTime, true);
    CPPUNIT_ASSERT_EQUAL(Concurrency(2), ramp_.limit());
    Answer(kInTime, true);
    CPPUNIT_ASSERT_EQUAL(Concurrency(3), ramp_.limit());
  }

  // Guards against load beyond the cold limit while the endpoint still reports that it is cold, and
  // against a limit that never grows again afterwards.
  void GrowthBeginsAfterTheLastColdReport() {
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT(ramp_.TryAdmit());
      ramp_.OnTurnedCold();
      ramp_.OnFinished(kInTime, true);
      CPPUNIT_ASSERT_EQUAL(Concurrency(2), ramp_.limit());
    }
    Answer(kInTime, true);
    CPPUNIT_ASSERT_EQUAL(Concurrency(3), ramp_.limit());
  }

  // Guards against a limit raised by single requests under light load, which do not test it.
  void UnusedLimitDoesNotGrow() {
    for (int i = 0; i < 20; ++i) Answer(kInTime, true);
    CPPUNIT_ASSERT_EQUAL(Concurrency(3), ramp_.limit());
  }

 private:
  static constexpr Duration kTarget = std::chrono::milliseconds(100);
  static constexpr Duration kInTime = std::chrono::milliseconds(50);

  void Answer(Duration first_token, bool ok) {
    CPPUNIT_ASSERT(ramp_.TryAdmit());
    ramp_.OnFinished(first_token, ok);
  }

  void Warm() {
    for (int i = 0; i < 20; ++i) {
      while (ramp_.TryAdmit()) {
      }
      ramp_.OnFinished(kInTime, true);
    }
    while (ramp_.in_flight() > Concurrency(0)) ramp_.OnCancelled();
  }

  AdmissionRamp ramp_{Concurrency(2), Concurrency(8), kTarget};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionRampTest);

}  // namespace bamboodock
