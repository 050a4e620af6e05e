#include <cppunit/extensions/HelperMacros.h>

#include "fakes/planned_router.h"

namespace bamboodock {
namespace {

using ConnectionAction = ScriptedServer::ConnectionAction;
using Answer = ScriptedServer::Answer;

}  // namespace

/// Answers without end.
class AnswerLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswerLimitsTest);
  CPPUNIT_TEST(EndlessHeadIsGivenUp);
  CPPUNIT_TEST(EndlessInterimHeadsAreGivenUp);
  CPPUNIT_TEST(EndlessBodyIsGivenUp);
  CPPUNIT_TEST(EndlessChunkExtensionIsGivenUp);
  CPPUNIT_TEST(EndlessEventIsGivenUp);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against memory that grows while an endpoint sends a head without end.
  void EndlessHeadIsGivenUp() {
    AssertEndlessAnswerIsGivenUp(RouteKind::kSafe, "HTTP/1.1 200 OK\r\n", "X-More: abcdefgh\r\n");
  }

  // Guards against a request that is held while an endpoint sends interim heads without end.
  void EndlessInterimHeadsAreGivenUp() {
    AssertEndlessAnswerIsGivenUp(RouteKind::kSafe, "", "HTTP/1.1 100 Continue\r\n\r\n");
  }

  // Guards against memory that grows while an endpoint sends a body without framing and without
  // end.
  void EndlessBodyIsGivenUp() {
    AssertEndlessAnswerIsGivenUp(RouteKind::kSafe,
                                 "HTTP/1.1 200 OK\r\n" + std::string(kAnswerHeaders) + "\r\n",
                                 std::string(4096, 'x'));
  }

  // Guards against memory that grows while an endpoint extends a chunk's header without end.
  void EndlessChunkExtensionIsGivenUp() {
    AssertEndlessAnswerIsGivenUp(RouteKind::kStream, StreamHead(90) + "1;", std::string(64, 'x'));
  }

  // Guards against memory that grows while an endpoint sends an event without end.
  void EndlessEventIsGivenUp() {
    AssertEndlessAnswerIsGivenUp(RouteKind::kStream, StreamHead(90), Chunk(std::string(4096, 'x')));
  }

 private:
  /// An endpoint sends `begin` and then `part` until its peer closes the connection; another one
  /// answers.
  static void AssertEndlessAnswerIsGivenUp(RouteKind kind, const std::string& begin,
                                           const std::string& part) {
    ScriptedServer endless([&](const auto&, std::size_t) {
      return Answer{begin, ConnectionAction::kSendEndlessly, part};
    });
    ScriptedServer sound([&](const auto&, std::size_t) {
      const std::string stream = StreamHead(90) + Chunk(StreamEvent(1)) + "0\r\n\r\n";
      return Answer{
          kind == RouteKind::kStream ? stream : FullAnswer("200 OK", kAnswerHeaders, "done"),
          ConnectionAction::kClose};
    });
    Route route = MakeRoute(kind, true);
    // Ends the request only if the endless answer is not given up.
    route.timeout = std::chrono::seconds(60);
    PlannedRouter router(route);
    router.Plan(endless.address());
    router.Plan(sound.address());
    const std::string answer = router.Exchange(PostRequest());
    CPPUNIT_ASSERT_MESSAGE(answer.substr(0, 200),
                           Contains(answer, kind == RouteKind::kStream ? "id: 1" : "done"));
    CPPUNIT_ASSERT(router.counters().answers_over_limit == 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerLimitsTest);

}  // namespace bamboodock
