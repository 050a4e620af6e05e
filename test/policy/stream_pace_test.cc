#include "bamboodock/policy/stream_pace.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/policy/model_escalation.h"

namespace bamboodock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const RouteId kRoute("r1");
const ModelId kSmall("m0");
const ModelId kLarge("m2");

AttemptReport Stream(const ModelId& model, Duration interval, std::uint64_t events) {
  AttemptReport report;
  report.route = kRoute;
  report.model = model;
  report.head_latency = milliseconds(500);
  report.event_interval = interval;
  report.max_output_tokens = Tokens(500);
  report.stream_events = events;
  return report;
}

}  // namespace

class StreamPaceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamPaceTest);
  CPPUNIT_TEST(UnknownBeforeFirstCompleteStream);
  CPPUNIT_TEST(GrowsWithLengthAndInterval);
  CPPUNIT_TEST(LongAnswerIsNotEscalatedOnBusyEngines);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an estimate that rests on streams that broke off.
  void UnknownBeforeFirstCompleteStream() {
    StreamPace pace;
    pace.Learn(Stream(kLarge, milliseconds(100), 0));
    CPPUNIT_ASSERT(!pace.Expected(kRoute, kLarge, Tokens(500)));
    pace.Learn(Stream(kSmall, milliseconds(10), 100));
    CPPUNIT_ASSERT(pace.Expected(kRoute, kLarge, Tokens(500)));
    CPPUNIT_ASSERT(!pace.Expected(RouteId("other"), kLarge, Tokens(500)));
  }

  // Guards against an estimate that ignores how much the caller asks for.
  void GrowsWithLengthAndInterval() {
    StreamPace pace;
    pace.Learn(Stream(kLarge, milliseconds(100), 100));
    CPPUNIT_ASSERT(*pace.Expected(kRoute, kLarge, Tokens(500)) == milliseconds(10500));
    CPPUNIT_ASSERT(*pace.Expected(kRoute, kLarge, Tokens(1000)) == milliseconds(20500));
    for (int i = 0; i < 100; ++i) pace.Learn(Stream(kLarge, milliseconds(200), 100));
    CPPUNIT_ASSERT(*pace.Expected(kRoute, kLarge, Tokens(500)) > milliseconds(20000));
  }

  // Guards against an answer that is given up for one that cannot end before the deadline.
  void LongAnswerIsNotEscalatedOnBusyEngines() {
    StreamPace pace;
    for (int i = 0; i < 10; ++i) pace.Learn(Stream(kLarge, milliseconds(100), 100));
    const ModelEscalation escalation({60});
    const Route route;
    EscalationConditions conditions;
    conditions.left = seconds(15);
    conditions.expected = *pace.Expected(kRoute, kLarge, Tokens(500));
    CPPUNIT_ASSERT(escalation.LeastConfidence(route, conditions) == 60);
    conditions.expected = *pace.Expected(kRoute, kLarge, Tokens(800));
    CPPUNIT_ASSERT(escalation.LeastConfidence(route, conditions) == 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamPaceTest);

}  // namespace bamboodock
