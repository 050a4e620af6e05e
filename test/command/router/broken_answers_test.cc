#include "fakes/broken_answers.h"

#include <cppunit/extensions/HelperMacros.h>

#include "fakes/planned_router.h"

namespace bamboodock {
namespace {

using ConnectionAction = ScriptedServer::ConnectionAction;
using Answer = ScriptedServer::Answer;

ScriptedServer::Script Sends(const std::string& bytes) {
  return [bytes](const auto&, std::size_t) { return Answer{bytes, ConnectionAction::kClose}; };
}

}  // namespace

/// Bytes of endpoints that are no answer, and what callers get in their place.
class BrokenAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BrokenAnswersTest);
  CPPUNIT_TEST(BrokenStatusIsNotDelivered);
  CPPUNIT_TEST(InterimAnswerWithContentIsNotDelivered);
  CPPUNIT_TEST(BrokenFieldIsNotDelivered);
  CPPUNIT_TEST(BrokenFramingIsNotDelivered);
  CPPUNIT_TEST(SoundAnswersAreDelivered);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a status like 000 that is skipped as an interim one, so that the bytes behind it
  // reach the caller as the answer.
  void BrokenStatusIsNotDelivered() { AssertNotDelivered(AnswersWithBrokenStatus()); }

  // Guards against the content of an interim answer that is read as the final answer.
  void InterimAnswerWithContentIsNotDelivered() { AssertNotDelivered(InterimAnswersWithContent()); }

  // Guards against a head line that is passed on although its name or value is not valid, and
  // against a head that ends at such a line.
  void BrokenFieldIsNotDelivered() { AssertNotDelivered(AnswersWithBrokenFields()); }

  // Guards against a body that is cut at the wrong place or delivered in a coding that the caller
  // does not expect.
  void BrokenFramingIsNotDelivered() { AssertNotDelivered(AnswersWithBrokenFraming()); }

  // Guards against checks that refuse what HTTP allows.
  void SoundAnswersAreDelivered() {
    std::string failed;
    for (const SampleAnswer& sample : SoundAnswers()) {
      ScriptedServer endpoint(Sends(sample.bytes));
      for (const RouteKind kind : kKinds) {
        PlannedRouter router(MakeRoute(kind));
        router.Plan(endpoint.address());
        const std::string answer = router.Exchange(PostRequest());
        const bool delivered =
            answer.starts_with("HTTP/1.1 200") && Contains(answer, "data: answer");
        if (!delivered) failed += "\n" + sample.name + " kind " + Number(kind) + ": " + answer;
      }
    }
    CPPUNIT_ASSERT_MESSAGE(failed, failed.empty());
  }

 private:
  static constexpr std::array kKinds{RouteKind::kUnsafe, RouteKind::kSafe, RouteKind::kStream};

  static std::string Number(RouteKind kind) { return std::to_string(static_cast<int>(kind)); }

  /// Each sample must be answered with 502, and by another endpoint where the request may be
  /// repeated; a stream that has begun must not end as a complete one.
  static void AssertNotDelivered(const std::vector<SampleAnswer>& samples) {
    std::string failed;
    for (const SampleAnswer& sample : samples) {
      ScriptedServer broken(Sends(sample.bytes));
      for (const RouteKind kind : kKinds) {
        PlannedRouter router(MakeRoute(kind));
        router.Plan(broken.address());
        const std::string answer = router.Exchange(PostRequest());
        const bool truncated_stream = kind == RouteKind::kStream &&
                                      answer.starts_with("HTTP/1.1 200") &&
                                      !answer.ends_with("0\r\n\r\n");
        if (answer.starts_with("HTTP/1.1 50") || truncated_stream) continue;
        failed += "\n" + sample.name + " kind " + Number(kind) + ": " + answer;
      }
      if (!IsRepeatedElsewhere(broken)) failed += "\n" + sample.name + ": not repeated";
    }
    CPPUNIT_ASSERT_MESSAGE(failed, failed.empty());
  }

  static bool IsRepeatedElsewhere(const ScriptedServer& broken) {
    ScriptedServer sound(Sends(FullAnswer("200 OK", kAnswerHeaders, "from another endpoint")));
    PlannedRouter router(MakeRoute(RouteKind::kSafe));
    router.Plan(broken.address());
    router.Plan(sound.address());
    return router.Exchange(PostRequest()).ends_with("from another endpoint");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenAnswersTest);

}  // namespace bamboodock
