#include <cppunit/extensions/HelperMacros.h>

#include "fakes/late_reading_server.h"
#include "fakes/planned_router.h"
#include "fakes/vanishing_server.h"

namespace bamboodock {
namespace {

using ConnectionAction = ScriptedServer::ConnectionAction;
using Answer = ScriptedServer::Answer;

/// More than the send buffer of a socket and the receive buffer of the server hold.
constexpr std::size_t kBodyBytes = 4194304;

std::string LongRequest() {
  return "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nX-Bamboodock-Attempt-Id: a1\r\n"
         "Connection: close\r\nContent-Length: " +
         std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kBodyBytes, 'x');
}

}  // namespace

/// Peers that read what they are sent only some time later.
class LateReadingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateReadingTest);
  CPPUNIT_TEST(StreamIsNotCutWhileItsRequestIsRead);
  CPPUNIT_TEST(UnsafeRequestIsAnsweredAfterItIsRead);
  CPPUNIT_TEST(EndpointThatReadsAfterThePeerTimeoutIsNotCut);
  CPPUNIT_TEST(CallerThatReadsAfterTheCallerTimeoutIsNotCut);
  CPPUNIT_TEST(EndpointThatVanishesWhileItsRequestIsSentIsLost);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a stream that is cut when the timeout of the connect passes, since the endpoint
  // has begun its answer but not read the whole request yet.
  void StreamIsNotCutWhileItsRequestIsRead() {
    LateReadingServer endpoint(kLongerThanConnect, StreamHead(90) + Chunk(StreamEvent(1)),
                               Chunk(StreamEvent(2)) + "0\r\n\r\n");
    PlannedRouter router(MakeRoute(RouteKind::kStream, false));
    router.Plan(endpoint.address());
    const std::string answer = router.Exchange(LongRequest());
    CPPUNIT_ASSERT(Contains(answer, StreamEvent(1)) && Contains(answer, StreamEvent(2)));
    CPPUNIT_ASSERT(answer.ends_with("0\r\n\r\n"));
    CPPUNIT_ASSERT(endpoint.Body() == std::string(kBodyBytes, 'x'));
  }

  // Guards against a 502 for a request that the endpoint would have answered.
  void UnsafeRequestIsAnsweredAfterItIsRead() {
    LateReadingServer endpoint(kLongerThanConnect, "",
                               FullAnswer("200 OK", kAnswerHeaders, "done"));
    PlannedRouter router(MakeRoute(RouteKind::kUnsafe));
    router.Plan(endpoint.address());
    CPPUNIT_ASSERT(router.Exchange(LongRequest()).ends_with("\r\n\r\ndone"));
  }

  // Guards against a sound endpoint that is taken for lost since its receive window stays full.
  void EndpointThatReadsAfterThePeerTimeoutIsNotCut() {
    LateReadingServer endpoint(kPeerTimeout + kLongerThanConnect,
                               StreamHead(90) + Chunk(StreamEvent(1)),
                               Chunk(StreamEvent(2)) + "0\r\n\r\n");
    PlannedRouter router(MakeLongRoute(RouteKind::kStream));
    router.Plan(endpoint.address());
    const std::string answer = router.Exchange(LongRequest());
    CPPUNIT_ASSERT(Contains(answer, StreamEvent(1)) && Contains(answer, StreamEvent(2)));
    CPPUNIT_ASSERT(answer.ends_with("0\r\n\r\n"));
  }

  // Guards against the same for a caller.
  void CallerThatReadsAfterTheCallerTimeoutIsNotCut() {
    const std::string body(kBodyBytes, 'y');
    ScriptedServer endpoint([&body](const auto&, std::size_t) {
      return Answer{FullAnswer("200 OK", kAnswerHeaders, body), ConnectionAction::kClose};
    });
    PlannedRouter router(MakeLongRoute(RouteKind::kUnsafe));
    router.Plan(endpoint.address());
    boost::asio::ip::tcp::socket caller = router.Connect(kSmallBufferBytes);
    boost::asio::write(caller, boost::asio::buffer(PostRequest()));
    boost::asio::steady_timer(caller.get_executor(), kLongerThanCallerTimeout).wait();
    const std::string answer = ReadToEnd(caller);
    CPPUNIT_ASSERT(answer.ends_with(body));
  }

  // Guards against a request that waits until its deadline for an endpoint whose host is gone.
  void EndpointThatVanishesWhileItsRequestIsSentIsLost() {
    VanishingServer endpoint(StreamHead(90) + Chunk(StreamEvent(1)));
    const Route route = MakeLongRoute(RouteKind::kStream);
    PlannedRouter router(route);
    router.Plan(endpoint.address());
    const auto begin = std::chrono::steady_clock::now();
    const std::string answer = router.Exchange(LongRequest());
    CPPUNIT_ASSERT(Contains(answer, StreamEvent(1)) && !answer.ends_with("0\r\n\r\n"));
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < route.timeout / 2);
  }

 private:
  static constexpr std::chrono::milliseconds kLongerThanConnect{1000};
  static constexpr std::chrono::seconds kLongerThanCallerTimeout{5};
  static constexpr int kSmallBufferBytes = 16384;

  /// Route whose timeout is longer than the delays of the tests.
  static Route MakeLongRoute(RouteKind kind) {
    Route route = MakeRoute(kind);
    route.timeout = std::chrono::seconds(20);
    return route;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateReadingTest);

}  // namespace bamboodock
