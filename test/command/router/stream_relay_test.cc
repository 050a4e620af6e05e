#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/read_until.hpp>

#include "fakes/planned_router.h"

namespace bamboodock {
namespace {

using ConnectionAction = ScriptedServer::ConnectionAction;
using Answer = ScriptedServer::Answer;

}  // namespace

/// Streams that break off, stall or are slow.
class StreamRelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamRelayTest);
  CPPUNIT_TEST(BrokenStreamIsResumed);
  CPPUNIT_TEST(NonResumableStreamEndsTruncated);
  CPPUNIT_TEST(ErrorAfterABrokenStreamIsNotDelivered);
  CPPUNIT_TEST(OnlyAStreamContinuesABrokenStream);
  CPPUNIT_TEST(UnframedStreamThatEndsInsideAnEventIsResumed);
  CPPUNIT_TEST(TricklingStreamIsResumedElsewhere);
  CPPUNIT_TEST(TricklingHeadIsRetriedElsewhere);
  CPPUNIT_TEST(SlowStreamIsNotCut);
  CPPUNIT_TEST(NonResumableStreamRunsOnceWhateverItsConfidence);
  CPPUNIT_TEST(AbortTruncatesOpenStreams);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against lost, duplicated or partial events when the connection to an endpoint breaks
  // during a stream.
  void BrokenStreamIsResumed() {
    ScriptedServer first([](const auto&, std::size_t) {
      return Answer{StreamHead(90) + Chunk(StreamEvent(1) + StreamEvent(2) + "id: 3\nda"),
                    ConnectionAction::kReset};
    });
    ScriptedServer second([](const auto&, std::size_t) {
      return Answer{StreamHead(90) + Chunk(StreamEvent(2) + StreamEvent(3)) +
                        Chunk(StreamEvent(4)) + "0\r\n\r\n",
                    ConnectionAction::kClose};
    });
    PlannedRouter router(MakeRoute(RouteKind::kStream, true));
    router.Plan(first.address());
    router.Plan(second.address());
    const std::string answer = router.Exchange(PostRequest());
    CPPUNIT_ASSERT(second.requests().at(0)["Last-Event-Id"] == "2");
    for (int id = 1; id <= 4; ++id) {
      const std::size_t found = answer.find(StreamEvent(id));
      CPPUNIT_ASSERT(found != std::string::npos);
      CPPUNIT_ASSERT(answer.find(StreamEvent(id), found + 1) == std::string::npos);
    }
    CPPUNIT_ASSERT(answer.ends_with("0\r\n\r\n"));
    CPPUNIT_ASSERT(!Contains(answer, "id: 3\nda\r\n"));
  }

  // Guards against an interrupted stream that ends as if it were complete.
  void NonResumableStreamEndsTruncated() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{StreamHead(90) + Chunk(StreamEvent(1)), ConnectionAction::kReset};
    });
    PlannedRouter router(MakeRoute(RouteKind::kStream, false));
    router.Plan(endpoint.address());
    router.Plan(endpoint.address());
    const std::string answer = router.Exchange(PostRequest());
    CPPUNIT_ASSERT(!answer.ends_with("0\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoint.requests().size());
  }

  // Guards against the text or the head of an error in the middle of a stream, and against a stream
  // that ends as complete, when the endpoints that could resume it answer with errors.
  void ErrorAfterABrokenStreamIsNotDelivered() {
    ScriptedServer broken([](const auto&, std::size_t) {
      return Answer{StreamHead(90) + Chunk(StreamEvent(1)), ConnectionAction::kReset};
    });
    ScriptedServer failing([](const auto&, std::size_t number) {
      return Answer{FullAnswer(number == 0 ? "500 Error" : "400 Bad", kAnswerHeaders, "boom\n\n"),
                    ConnectionAction::kClose};
    });
    PlannedRouter router(MakeRoute(RouteKind::kStream, true));
    router.Plan(broken.address());
    router.Plan(failing.address());
    router.Plan(failing.address());
    const std::string answer = router.Exchange(PostRequest());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, failing.requests().size());
    CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with(Chunk(StreamEvent(1))));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, answer.rfind("HTTP/1.1"));
  }

  // Guards against the body of an answer that is not a stream in the middle of one, when an
  // endpoint reports its error with a success status.
  void OnlyAStreamContinuesABrokenStream() {
    ScriptedServer broken([](const auto&, std::size_t) {
      return Answer{StreamHead(90) + Chunk(StreamEvent(1)), ConnectionAction::kReset};
    });
    ScriptedServer failing([](const auto&, std::size_t) {
      const std::string headers = std::string(kAnswerHeaders) + "Content-Type: text/plain\r\n";
      return Answer{FullAnswer("200 OK", headers, "boom\n\n"), ConnectionAction::kClose};
    });
    ScriptedServer sound([](const auto&, std::size_t) {
      return Answer{StreamHead(90) + Chunk(StreamEvent(2)) + "0\r\n\r\n", ConnectionAction::kClose};
    });
    PlannedRouter router(MakeRoute(RouteKind::kStream, true));
    router.Plan(broken.address());
    router.Plan(failing.address());
    router.Plan(sound.address());
    const std::string answer = router.Exchange(PostRequest());
    CPPUNIT_ASSERT_MESSAGE(answer, !Contains(answer, "boom"));
    CPPUNIT_ASSERT(answer.ends_with(Chunk(StreamEvent(2)) + "0\r\n\r\n"));
  }

  // Guards against a stream without length and chunks that counts as complete although its
  // connection ended inside an event.
  void UnframedStreamThatEndsInsideAnEventIsResumed() {
    ScriptedServer broken([](const auto&, std::size_t) {
      return Answer{"HTTP/1.1 200 OK\r\n" + std::string(kAnswerHeaders) +
                        "Content-Type: text/event-stream\r\n\r\n" + StreamEvent(1) + "id: 2\nda",
                    ConnectionAction::kClose};
    });
    ScriptedServer sound([](const auto&, std::size_t) {
      return Answer{"HTTP/1.1 200 OK\r\n" + std::string(kAnswerHeaders) +
                        "Content-Type: text/event-stream\r\n\r\n" + StreamEvent(2),
                    ConnectionAction::kClose};
    });
    PlannedRouter router(MakeRoute(RouteKind::kStream, true));
    router.Plan(broken.address());
    router.Plan(sound.address());
    const std::string answer = router.Exchange(PostRequest());
    CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with(Chunk(StreamEvent(2)) + "0\r\n\r\n"));
    CPPUNIT_ASSERT(!Contains(answer, "id: 2\nda\r\n"));
  }

  // Guards against a stalled stream that never ends because it sends a byte now and then.
  void TricklingStreamIsResumedElsewhere() {
    ScriptedServer stalled([](const auto&, std::size_t) {
      return Answer{StreamHead(90) + Chunk(StreamEvent(1)), ConnectionAction::kTrickle, Chunk(":")};
    });
    ScriptedServer sound([](const auto&, std::size_t) {
      return Answer{StreamHead(90) + Chunk(StreamEvent(2)) + "0\r\n\r\n", ConnectionAction::kClose};
    });
    PlannedRouter router(MakeFastRoute(RouteKind::kStream));
    router.Plan(stalled.address());
    router.Plan(sound.address());
    const std::string answer = router.Exchange(PostRequest());
    CPPUNIT_ASSERT(Contains(answer, StreamEvent(1)) && Contains(answer, StreamEvent(2)));
    CPPUNIT_ASSERT(answer.ends_with("0\r\n\r\n"));
  }

  // Guards against a request that is held until its deadline by a head that never ends.
  void TricklingHeadIsRetriedElsewhere() {
    ScriptedServer stalled([](const auto&, std::size_t) {
      return Answer{"HTTP/1.1 200 OK\r\nX-Slow: ", ConnectionAction::kTrickle, "a"};
    });
    ScriptedServer sound([](const auto&, std::size_t) {
      return Answer{FullAnswer("200 OK", kAnswerHeaders, "done"), ConnectionAction::kClose};
    });
    PlannedRouter router(MakeFastRoute(RouteKind::kSafe));
    router.Plan(stalled.address());
    router.Plan(sound.address());
    CPPUNIT_ASSERT(router.Exchange(PostRequest()).ends_with("done"));
  }

  // Guards against a sound stream that is cut because its events come slowly and no other endpoint
  // can take it over.
  void SlowStreamIsNotCut() {
    ScriptedServer slow([](const auto&, std::size_t) {
      return Answer{StreamHead(90) + Chunk(StreamEvent(1)), ConnectionAction::kFinishLater,
                    Chunk(StreamEvent(2)) + "0\r\n\r\n"};
    });
    PlannedRouter router(MakeFastRoute(RouteKind::kStream));
    router.Plan(slow.address());
    const std::string answer = router.Exchange(PostRequest());
    CPPUNIT_ASSERT(Contains(answer, StreamEvent(2)) && answer.ends_with("0\r\n\r\n"));
    CPPUNIT_ASSERT(router.reasons.back() == PlanReason::kResume);
  }

  // Guards against a request that may run once and runs again with a larger model.
  void NonResumableStreamRunsOnceWhateverItsConfidence() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{StreamHead(20) + Chunk(StreamEvent(1)) + "0\r\n\r\n", ConnectionAction::kClose};
    });
    Route route = MakeRoute(RouteKind::kStream, false);
    route.models = {ModelId("small"), ModelId("large")};
    PlannedRouter router(route);
    router.Plan(endpoint.address());
    router.Plan(endpoint.address());
    const std::string answer = router.Exchange(PostRequest("X-Bamboodock-Model: *\r\n"));
    CPPUNIT_ASSERT(answer.ends_with(Chunk(StreamEvent(1)) + "0\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoint.requests().size());
  }

  // Guards against a stream that is cut at the end of the grace time and looks complete.
  void AbortTruncatesOpenStreams() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{StreamHead(90) + Chunk(StreamEvent(1)), ConnectionAction::kWaitForPeer};
    });
    PlannedRouter router(MakeRoute(RouteKind::kStream, true));
    router.Plan(endpoint.address());
    boost::asio::ip::tcp::socket caller = router.Connect();
    boost::asio::write(caller, boost::asio::buffer(PostRequest()));
    std::string received;
    boost::asio::read_until(caller, boost::asio::dynamic_buffer(received), StreamEvent(1));
    router.network().CloseIdle();
    router.network().AbortOpen();
    CPPUNIT_ASSERT(router.network().AwaitIdle(std::chrono::seconds(10)));
    CPPUNIT_ASSERT(!(received + ReadToEnd(caller)).ends_with("0\r\n\r\n"));
  }

 private:
  /// Route whose intervals and timeouts let a stall show within a fraction of a second.
  static Route MakeFastRoute(RouteKind kind) {
    Route route = MakeRoute(kind, true);
    route.timeout = std::chrono::seconds(60);
    route.interval_objective = std::chrono::milliseconds(200);
    return route;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamRelayTest);

}  // namespace bamboodock
