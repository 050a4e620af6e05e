#include "bamboodock/policy/endpoint_pace.h"

#include <cppunit/extensions/HelperMacros.h>

#include "policy/at.h"

namespace bamboodock {

class EndpointPaceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointPaceTest);
  CPPUNIT_TEST(SpellEndsWithItsReport);
  CPPUNIT_TEST(ManyReportsOfOneSpellCountOnce);
  CPPUNIT_TEST(ErrorGrowsWithAgeAndSpread);
  CPPUNIT_TEST(WrongReportIsBounded);
  CPPUNIT_TEST(OwnReportsOutweighThoseOfOthers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an endpoint that is avoided or preferred for long after a short spell because no
  // further report arrives.
  void SpellEndsWithItsReport() {
    EndpointPace pace = Steady(1.6);
    pace.Observe(Slowdown(4), At(20100));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(4, pace.At(At(20100)).value(), 0.01);
    CPPUNIT_ASSERT(pace.At(At(20400)).value() < 2.5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.6, pace.At(At(22000)).value(), 0.1);
  }

  // Guards against a busy endpoint whose long-run mean is that of its last spell.
  void ManyReportsOfOneSpellCountOnce() {
    EndpointPace pace = Steady(1);
    for (std::int64_t ms = 20000; ms < 20600; ++ms) pace.Observe(Slowdown(2.5), At(ms));
    CPPUNIT_ASSERT(pace.mean().value() < 1.1);
  }

  // Guards against old reports that count as exact, on which all entries would act alike.
  void ErrorGrowsWithAgeAndSpread() {
    const EndpointPace steady = Steady(1.6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(EndpointPace::kMinError, steady.Error(At(20000)), 0.02);
    EndpointPace uneven;
    for (std::int64_t i = 0; i < 40; ++i) uneven.Observe(Slowdown(i % 2 ? 0.8 : 2), At(i * 500));
    CPPUNIT_ASSERT(uneven.Error(At(19500)) < 0.06);
    CPPUNIT_ASSERT(uneven.Error(At(19700)) > 0.2);
    CPPUNIT_ASSERT(uneven.Error(At(30000)) > 2 * steady.Error(At(30000)));
    CPPUNIT_ASSERT(EndpointPace().Error(At(1)) > EndpointPace::kPriorSpread);
  }

  // Guards against an endpoint that is not used any more after one report with a wrong unit.
  void WrongReportIsBounded() {
    EndpointPace pace = Steady(1);
    pace.Observe(Slowdown(1e9), At(20100));
    CPPUNIT_ASSERT(pace.At(At(20100)).value() <= EndpointPace::kMaxSlowdown * 1.01);
    CPPUNIT_ASSERT(pace.At(At(22000)).value() < 1.5);
  }

  // Guards against an entry that alone learns nothing, and against means of others that replace
  // what the endpoint itself says.
  void OwnReportsOutweighThoseOfOthers() {
    EndpointPace heard;
    heard.Merge(Slowdown(2), At(0));
    CPPUNIT_ASSERT(heard.known() && !heard.has_own() && heard.mean().value() > 1.5);
    EndpointPace both = Steady(1);
    for (std::int64_t i = 0; i < 1000; ++i) both.Merge(Slowdown(2), At(20000));
    CPPUNIT_ASSERT(both.mean().value() < 1.2);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, both.own_mean().value(), 0.01);
  }

 private:
  /// Pace after 20 s of equal reports.
  static EndpointPace Steady(double slowdown) {
    EndpointPace pace;
    for (std::int64_t ms = 0; ms <= 20000; ms += 200) pace.Observe(Slowdown(slowdown), At(ms));
    return pace;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointPaceTest);

}  // namespace bamboodock
