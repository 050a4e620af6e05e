#include "bamboodock/policy/stream_pace.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/policy/model_choice.h"
#include "policy/at.h"

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
  CPPUNIT_TEST(BrokenStreamsDoNotTeachLengths);
  CPPUNIT_TEST(GrowsWithLengthAndInterval);
  CPPUNIT_TEST(LongAnswerIsNotEscalatedOnBusyEngines);
  CPPUNIT_TEST(StartOfADeploymentWithLongAnswers);
  CPPUNIT_TEST(HintSetsTheLength);
  CPPUNIT_TEST(OldObservationsAreAssumptions);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an estimate whose length rests on streams that broke off.
  void BrokenStreamsDoNotTeachLengths() {
    StreamPace pace;
    CPPUNIT_ASSERT(!pace.Expected(Answer(500), 1, At(0)));
    for (int i = 0; i < 100; ++i) pace.Learn(Stream(kLarge, milliseconds(100), 0), At(0));
    CPPUNIT_ASSERT(!pace.Expected(Answer(500), 1, At(0)));
    pace.Learn(Stream(kLarge, milliseconds(100), 500), At(0));
    CPPUNIT_ASSERT(pace.Expected(Answer(500), 1, At(0))->time == milliseconds(50500));
    CPPUNIT_ASSERT(!pace.Expected(Answer(0), 1, At(0)));
  }

  // Guards against an estimate that ignores how much the caller asks for.
  void GrowsWithLengthAndInterval() {
    StreamPace pace;
    for (int i = 0; i < 300; ++i) pace.Learn(Stream(kLarge, milliseconds(100), 100), At(0));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10500, Millis(pace, Answer(500), 1), 1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20500, Millis(pace, Answer(1000), 1), 1);
    for (int i = 0; i < 100; ++i) pace.Learn(Stream(kLarge, milliseconds(200), 100), At(0));
    CPPUNIT_ASSERT(Millis(pace, Answer(500), 1) > 20000);
  }

  // Guards against an answer that is given up for one that cannot end before the deadline.
  void LongAnswerIsNotEscalatedOnBusyEngines() {
    StreamPace pace;
    for (int i = 0; i < 300; ++i) pace.Learn(Stream(kLarge, milliseconds(100), 100), At(0));
    CPPUNIT_ASSERT(ModelChoice::IsInTime(pace.Expected(Answer(500), 1, At(0))->time, seconds(15)));
    CPPUNIT_ASSERT(!ModelChoice::IsInTime(pace.Expected(Answer(800), 1, At(0))->time, seconds(15)));
  }

  // Guards against long answers that are escalated and lost because streams of their own route and
  // model have not ended yet, and against short ones that are kept from the largest model until
  // many streams have ended. Replays the first second of a deployment: the shortest streams of
  // another route end first, with 7 tokens in an event. The earlier estimate was empty until
  // streams of both had ended.
  void StartOfADeploymentWithLongAnswers() {
    const Duration left = seconds(20);
    StreamPace pace;
    const AnswerToExpect long_answer = Answer(950);
    const auto in_time = [&](const AnswerToExpect& answer, std::int64_t at_ms) {
      return ModelChoice::IsInTime(pace.Expected(answer, 1, At(at_ms))->time, left);
    };
    CPPUNIT_ASSERT(!pace.Expected(long_answer, 1, At(0)));
    AttemptReport first = Stream(kSmall, milliseconds(30), 3);
    first.route = RouteId("other");
    first.max_output_tokens = Tokens(21);
    pace.Learn(first, At(100));
    CPPUNIT_ASSERT(!in_time(long_answer, 100));
    CPPUNIT_ASSERT(pace.Expected(long_answer, 1, At(100))->assumed);
    CPPUNIT_ASSERT(in_time(Answer(150), 100));
    CPPUNIT_ASSERT(ModelChoice::IsInTime(pace.Expected(long_answer, 0, At(100))->time, left));
    pace.Learn(Stream(kLarge, milliseconds(160), 0), At(500));
    CPPUNIT_ASSERT(!in_time(long_answer, 500));
    CPPUNIT_ASSERT(!pace.Expected(long_answer, 1, At(500))->assumed);
  }

  // Guards against a hint that is ignored, that is believed whatever it says, or that stays wrong
  // by the same factor.
  void HintSetsTheLength() {
    StreamPace pace;
    AnswerToExpect answer = Answer(500);
    answer.expected_output_tokens = Tokens(100);
    CPPUNIT_ASSERT(pace.ExpectedEvents(answer) == 0);
    AttemptReport report = Stream(kSmall, milliseconds(10), 200);
    report.expected_output_tokens = Tokens(100);
    for (int i = 0; i < 300; ++i) pace.Learn(report, At(0));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200, pace.ExpectedEvents(answer), 1);
    answer.expected_output_tokens = Tokens(400);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(400, pace.ExpectedEvents(answer), 1);
    answer.expected_output_tokens = Tokens(10000);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2000, pace.ExpectedEvents(answer), 5);
  }

  // Guards against a model that is never asked again because it was slow once.
  void OldObservationsAreAssumptions() {
    StreamPace pace;
    pace.Learn(Stream(kLarge, milliseconds(100), 500), At(0));
    CPPUNIT_ASSERT(!pace.Expected(Answer(500), 1, At(29000))->assumed);
    CPPUNIT_ASSERT(pace.Expected(Answer(500), 1, At(31000))->assumed);
    AttemptReport elsewhere = Stream(kLarge, milliseconds(20), 0);
    elsewhere.route = RouteId("other");
    for (int i = 0; i < 100; ++i) pace.Learn(elsewhere, At(40000));
    CPPUNIT_ASSERT(!pace.Expected(Answer(500), 1, At(41000))->assumed);
    CPPUNIT_ASSERT(Millis(pace, Answer(500), 1, 41000) < 15000);
  }

 private:
  static AnswerToExpect Answer(std::uint64_t max_output_tokens) {
    return {kRoute, {{kSmall, 1}, {kLarge, 15}}, Tokens(max_output_tokens), std::nullopt};
  }
  static double Millis(const StreamPace& pace, const AnswerToExpect& answer, std::size_t model,
                       std::int64_t at_ms = 0) {
    return static_cast<double>(ToMillis(pace.Expected(answer, model, At(at_ms))->time));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamPaceTest);

}  // namespace bamboodock
