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
  CPPUNIT_TEST(NothingIsSlowWithoutBaseline);
  CPPUNIT_TEST(LateHeadIsSlow);
  CPPUNIT_TEST(SlowEventsAreFoundAfterFastHead);
  CPPUNIT_TEST(OneOutlierDoesNotSetTheBaseline);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against judging the first answer of a route and model without a baseline.
  void NothingIsSlowWithoutBaseline() {
    const auto verdict = baseline_.Judge(Answer(milliseconds(9000), milliseconds(900)));
    CPPUNIT_ASSERT(!verdict.late_head && !verdict.slow_events);
    CPPUNIT_ASSERT(baseline_.HeadLatencyRatio(Answer(milliseconds(9000))) == 1);
  }

  // Guards against missing a late head, and against flagging the delay of a long prompt or a queue.
  void LateHeadIsSlow() {
    baseline_.Learn(Answer(milliseconds(60)));
    CPPUNIT_ASSERT(!baseline_.Judge(Answer(milliseconds(180))).late_head);
    CPPUNIT_ASSERT(baseline_.Judge(Answer(milliseconds(300))).late_head);
  }

  // Guards against missing a slow version whose answers begin in time.
  void SlowEventsAreFoundAfterFastHead() {
    baseline_.Learn(Answer(milliseconds(60), milliseconds(45)));
    CPPUNIT_ASSERT(!baseline_.Judge(Answer(milliseconds(60), milliseconds(80))).slow_events);
    CPPUNIT_ASSERT(baseline_.Judge(Answer(milliseconds(60), milliseconds(160))).slow_events);
  }

  // Guards against one stalled stream that raises the baseline so far that slow streams are missed.
  void OneOutlierDoesNotSetTheBaseline() {
    baseline_.Learn(Answer(milliseconds(60), milliseconds(45)));
    baseline_.Learn(Answer(milliseconds(60), milliseconds(5000)));
    CPPUNIT_ASSERT(baseline_.Judge(Answer(milliseconds(60), milliseconds(160))).slow_events);
  }

 private:
  LatencyBaseline baseline_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LatencyBaselineTest);

}  // namespace bamboodock
