#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/read_until.hpp>

#include "fakes/planned_router.h"

namespace bamboodock {
namespace {

using ConnectionAction = ScriptedServer::ConnectionAction;
using Answer = ScriptedServer::Answer;

const std::string kSessionHeader = "Session: c1\r\n";

}  // namespace

/// Reports of the ends of requests that belong to a session.
class SessionRequestEndTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionRequestEndTest);
  CPPUNIT_TEST(RepeatedRequestEndsOnce);
  CPPUNIT_TEST(RefusedRequestEnds);
  CPPUNIT_TEST(RequestOfAVanishedCallerEnds);
  CPPUNIT_TEST(RequestCutByAStopEnds);
  CPPUNIT_TEST(RequestWithoutAnAttemptHasNoEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a count that falls with each attempt of a request, while the request runs on.
  void RepeatedRequestEndsOnce() {
    ScriptedServer broken([](const auto&, std::size_t) {
      return Answer{StreamHead(90) + Chunk(StreamEvent(1)), ConnectionAction::kReset};
    });
    ScriptedServer sound([](const auto&, std::size_t) {
      return Answer{StreamHead(90) + Chunk(StreamEvent(2)) + "0\r\n\r\n", ConnectionAction::kClose};
    });
    PlannedRouter router(MakeRoute(RouteKind::kStream, true));
    router.Plan(broken.address());
    router.Plan(sound.address());
    router.Exchange(PostRequest(kSessionHeader));
    CPPUNIT_ASSERT_EQUAL(1, router.session_ends());
    router.Plan(sound.address());
    router.Exchange(PostRequest());
    CPPUNIT_ASSERT_EQUAL(1, router.session_ends());
  }

  // Guards against sessions that stay pinned until the deadline of a request that was refused.
  void RefusedRequestEnds() {
    PlannedRouter router(MakeRoute(RouteKind::kStream, true));
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{StreamHead(90), ConnectionAction::kClose};
    });
    router.PlanExpired(endpoint.address());
    router.Exchange(PostRequest(kSessionHeader));
    CPPUNIT_ASSERT_EQUAL(1, router.session_ends());
  }

  // The same for a caller that closes its connection in the middle of an answer.
  void RequestOfAVanishedCallerEnds() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{StreamHead(90) + Chunk(StreamEvent(1)), ConnectionAction::kWaitForPeer};
    });
    PlannedRouter router(MakeRoute(RouteKind::kStream, true));
    router.Plan(endpoint.address());
    boost::asio::ip::tcp::socket caller = BeginStream(router);
    CPPUNIT_ASSERT_EQUAL(0, router.session_ends());
    caller.close();
    router.network().CloseIdle();
    CPPUNIT_ASSERT(router.network().AwaitIdle(std::chrono::seconds(10)));
    CPPUNIT_ASSERT_EQUAL(1, router.session_ends());
  }

  // The same for the requests that an entry cuts at the end of its drain, whose sessions go on at
  // other entries.
  void RequestCutByAStopEnds() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{StreamHead(90) + Chunk(StreamEvent(1)), ConnectionAction::kWaitForPeer};
    });
    PlannedRouter router(MakeRoute(RouteKind::kStream, true));
    router.Plan(endpoint.address());
    boost::asio::ip::tcp::socket caller = BeginStream(router);
    router.network().CloseIdle();
    CPPUNIT_ASSERT_EQUAL(0, router.session_ends());
    router.network().AbortOpen();
    CPPUNIT_ASSERT(router.network().AwaitIdle(std::chrono::seconds(10)));
    CPPUNIT_ASSERT_EQUAL(1, router.session_ends());
  }

  // Guards against an end that is counted for another request of the session.
  void RequestWithoutAnAttemptHasNoEnd() {
    PlannedRouter router(MakeRoute(RouteKind::kStream, true));
    router.Exchange(PostRequest(kSessionHeader));
    CPPUNIT_ASSERT_EQUAL(0, router.session_ends());
  }

 private:
  /// Sends a request of a session and reads the first event of its answer.
  static boost::asio::ip::tcp::socket BeginStream(PlannedRouter& router) {
    boost::asio::ip::tcp::socket caller = router.Connect();
    boost::asio::write(caller, boost::asio::buffer(PostRequest(kSessionHeader)));
    std::string received;
    boost::asio::read_until(caller, boost::asio::dynamic_buffer(received), StreamEvent(1));
    return caller;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionRequestEndTest);

}  // namespace bamboodock
