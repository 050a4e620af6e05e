#include "bamboodock/policy/latency_baseline.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {
namespace {

using std::chrono::milliseconds;

AttemptReport Answer(milliseconds head, std::optional<Duration> interval = std::nullopt) {
  AttemptReport report;
  report.route = RouteId("r1");
  report.model = ModelId("m1");
  report.head_latency = head;
  report.event_interval = interval;
  return report;
}

}  // namespace

class LatencyBaselineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LatencyBaselineTest);
  CPPUNIT_TEST(NothingIsSlowBeforeAnythingIsUsual);
  CPPUNIT_TEST(LateHeadIsSlow);
  CPPUNIT_TEST(SlowEventsAreSlowAfterAQuickHead);
  CPPUNIT_TEST(OneOutlierDoesNotSetTheUsual);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NothingIsSlowBeforeAnythingIsUsual() {
    const auto verdict = times_.Judge(Answer(milliseconds(9000), milliseconds(900)));
    CPPUNIT_ASSERT(!verdict.late_head && !verdict.slow_events);
    CPPUNIT_ASSERT(times_.HeadLatencyRatio(Answer(milliseconds(9000))) == 1);
  }

  void LateHeadIsSlow() {
    times_.Learn(Answer(milliseconds(60)));
    CPPUNIT_ASSERT(!times_.Judge(Answer(milliseconds(180))).late_head);
    CPPUNIT_ASSERT(times_.Judge(Answer(milliseconds(300))).late_head);
  }

  // Guards against a slow version whose answers begin in the usual time.
  void SlowEventsAreSlowAfterAQuickHead() {
    times_.Learn(Answer(milliseconds(60), milliseconds(45)));
    CPPUNIT_ASSERT(!times_.Judge(Answer(milliseconds(60), milliseconds(80))).slow_events);
    CPPUNIT_ASSERT(times_.Judge(Answer(milliseconds(60), milliseconds(160))).slow_events);
  }

  // Guards against one stalled stream after which slow ones count as usual.
  void OneOutlierDoesNotSetTheUsual() {
    times_.Learn(Answer(milliseconds(60), milliseconds(45)));
    times_.Learn(Answer(milliseconds(60), milliseconds(5000)));
    CPPUNIT_ASSERT(times_.Judge(Answer(milliseconds(60), milliseconds(160))).slow_events);
  }

 private:
  LatencyBaseline times_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LatencyBaselineTest);

}  // namespace bamboodock
