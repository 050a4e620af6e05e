#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/read_until.hpp>

#include "fakes/planned_router.h"

namespace bamboodock {
namespace {

using ConnectionAction = ScriptedServer::ConnectionAction;
using Answer = ScriptedServer::Answer;

/// Endpoint that answers each request after a second.
ScriptedServer::Script SlowAnswer() {
  return [](const auto&, std::size_t) {
    return Answer{"", ConnectionAction::kFinishLater, FullAnswer("200 OK", kAnswerHeaders, "done")};
  };
}

/// Request after which the connection stays open.
std::string KeptRequest() {
  const std::string close = "Connection: close\r\n";
  std::string request = PostRequest();
  return request.erase(request.find(close), close.size());
}

void WaitForRequest(const ScriptedServer& endpoint) {
  while (endpoint.requests().empty()) std::this_thread::yield();
}

}  // namespace

/// Requests that may not be repeated, in a planned stop.
class PlannedStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlannedStopTest);
  CPPUNIT_TEST(RequestTakenDuringTheDrainIsAnswered);
  CPPUNIT_TEST(LateRequestIsNotPassedOn);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request that is taken while the process drains and cut without an answer.
  void RequestTakenDuringTheDrainIsAnswered() {
    ScriptedServer endpoint(SlowAnswer());
    PlannedRouter router(MakeRoute(RouteKind::kUnsafe));
    router.Plan(endpoint.address());
    router.network().BeginDrain();
    boost::asio::ip::tcp::socket caller = router.Connect();
    boost::asio::write(caller, boost::asio::buffer(KeptRequest()));
    WaitForRequest(endpoint);
    router.network().CloseIdle();
    CPPUNIT_ASSERT(router.network().AwaitIdle(std::chrono::seconds(10)));
    const std::string answer = ReadToEnd(caller);
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200") && Contains(answer, "done"));
    CPPUNIT_ASSERT_MESSAGE(answer, Contains(answer, "Connection: close"));
  }

  // Guards against a request that comes late in the grace time, is passed on, and is cut at its
  // end.
  void LateRequestIsNotPassedOn() {
    ScriptedServer endpoint(SlowAnswer());
    PlannedRouter router(MakeRoute(RouteKind::kUnsafe));
    router.Plan(endpoint.address());
    router.Plan(endpoint.address());
    boost::asio::ip::tcp::socket caller = router.Connect();
    boost::asio::write(caller, boost::asio::buffer(KeptRequest()));
    WaitForRequest(endpoint);
    router.network().BeginDrain();
    router.network().CloseIdle();
    std::string answer;
    boost::asio::read_until(caller, boost::asio::dynamic_buffer(answer), "done");
    CPPUNIT_ASSERT_MESSAGE(answer, Contains(answer, "Connection: close"));
    boost::system::error_code error;
    boost::asio::write(caller, boost::asio::buffer(KeptRequest()), error);
    CPPUNIT_ASSERT(router.network().AwaitIdle(std::chrono::seconds(10)));
    ReadToEnd(caller);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoint.requests().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedStopTest);

}  // namespace bamboodock
