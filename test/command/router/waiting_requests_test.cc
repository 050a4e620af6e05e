#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/read_until.hpp>
#include <list>

#include "fakes/loopback_router.h"
#include "fakes/planned_router.h"

namespace bamboodock {
namespace {

using Socket = boost::asio::ip::tcp::socket;

/// Endpoint that reports that its 8 slots are taken, sends one event of a stream at once, and the
/// rest after a second.
ScriptedServer::Script FullEndpoint() {
  return [](const ScriptedServer::Request& request, std::size_t) {
    const std::string head =
        "HTTP/1.1 200 OK\r\nX-Bamboodock-Attempt-Id: " +
        std::string(request["X-Bamboodock-Attempt-Id"]) +
        "\r\nX-Bamboodock-Response-Stamp: s\r\nX-Bamboodock-Server-Load: 8,0,8\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    return ScriptedServer::Answer{head + Chunk(StreamEvent(1)),
                                  ScriptedServer::ConnectionAction::kFinishLater,
                                  Chunk(StreamEvent(2)) + "0\r\n\r\n"};
  };
}

std::size_t Count(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
  return count;
}

void WaitForLog(const LoopbackRouter& router, const std::string& part, std::size_t count = 1) {
  while (Count(router.log().Text(), part) < count) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
}

}  // namespace

/// Requests that wait in front of a full endpoint, over real connections.
class WaitingRequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitingRequestsTest);
  CPPUNIT_TEST(PlannedStopRefusesEachWaitingRequest);
  CPPUNIT_TEST(CallerThatLeavesGivesUpItsPlace);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that are lost, or refused as not run although they run, when the router
  // stops with a full queue.
  void PlannedStopRefusesEachWaitingRequest() {
    constexpr std::size_t kWaiting = 40;
    ScriptedServer endpoint(FullEndpoint());
    LoopbackRouter router(MakeRoute(RouteKind::kStream));
    Socket first = FillEndpoint(router, endpoint);
    std::list<Socket> waiting;
    for (std::size_t i = 0; i < kWaiting; ++i) {
      waiting.push_back(router.Send("w" + std::to_string(i)));
    }
    WaitForLog(router, "request_waits", kWaiting);
    router.network().BeginDrain();
    router.network().CloseIdle();
    std::size_t served = 1;
    std::size_t refused = 0;
    for (Socket& socket : waiting) {
      const std::string answer = ReadToEnd(socket);
      if (answer.starts_with("HTTP/1.1 200")) {
        ++served;
        CPPUNIT_ASSERT_MESSAGE(answer, Contains(answer, "data: e2"));
      } else {
        ++refused;
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT_MESSAGE(answer, Contains(answer, "stopping"));
      }
    }
    CPPUNIT_ASSERT(Contains(ReadToEnd(first), "data: e2"));
    CPPUNIT_ASSERT(router.network().AwaitIdle(std::chrono::seconds(20)));
    CPPUNIT_ASSERT(refused > 0);
    CPPUNIT_ASSERT_EQUAL(served, endpoint.requests().size());
  }

  // Guards against a slot that is given to a caller that has left, and against one that stays taken
  // for it.
  void CallerThatLeavesGivesUpItsPlace() {
    ScriptedServer endpoint(FullEndpoint());
    LoopbackRouter router(MakeRoute(RouteKind::kStream));
    Socket first = FillEndpoint(router, endpoint);
    {
      const Socket leaving = router.Send("w1");
      WaitForLog(router, "request_waits request=w1");
    }
    WaitForLog(router, "caller_closed request=w1");
    for (const std::string attempt : {"w2", "w3"}) {
      CPPUNIT_ASSERT(Contains(router.Request(attempt), "data: e2"));
    }
    const std::string log = router.log().Text();
    // On a busy machine the request may be sent before its caller leaves.
    const bool was_sent = Contains(log, "request_woken request=w1");
    CPPUNIT_ASSERT_MESSAGE(log, was_sent || !Contains(log, "attempt_planned request=w1"));
    CPPUNIT_ASSERT(Contains(ReadToEnd(first), "data: e2"));
  }

 private:
  /// Sends a request whose answer reports that the endpoint is full.
  static Socket FillEndpoint(LoopbackRouter& router, const ScriptedServer& endpoint) {
    router.Register("e1", endpoint.address());
    Socket first = router.Send("first");
    std::string begin;
    boost::asio::read_until(first, boost::asio::dynamic_buffer(begin), "data: e1");
    return first;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingRequestsTest);

}  // namespace bamboodock
