#include <cppunit/extensions/HelperMacros.h>

#include "fakes/loopback_router.h"
#include "fakes/scripted_server.h"

namespace bamboodock {
namespace {

using Request = ScriptedServer::Request;

constexpr int kRequests = 20;

Route MakeRoute() {
  Route route;
  route.kind = RouteKind::kSafe;
  route.max_attempts = 3;
  route.timeout = std::chrono::seconds(5);
  route.latency_objective = std::chrono::seconds(1);
  return route;
}

/// Complete answer to the request, with further header lines.
ScriptedServer::Answer MakeAnswer(const Request& request, const std::string& status,
                                  const std::string& headers) {
  return {"HTTP/1.1 " + status +
          "\r\nX-Bamboodock-Attempt-Id: " + std::string(request["X-Bamboodock-Attempt-Id"]) +
          "\r\nX-Bamboodock-Response-Stamp: s\r\n" + headers + "Content-Length: 2\r\n\r\nok"};
}

ScriptedServer::Script Answering(const std::string& status, const std::string& headers) {
  return [=](const Request& request, std::size_t) { return MakeAnswer(request, status, headers); };
}

}  // namespace

/// What an endpoint says about itself in its answers, while the store is silent.
class EndpointStatementsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointStatementsTest);
  CPPUNIT_TEST(DrainingEndpointGetsNoRequestsWhileTheStoreIsSilent);
  CPPUNIT_TEST(AnotherEndpointDoesNotSpeakForThePlannedOne);
  CPPUNIT_TEST(EndpointThatAsksToWaitGetsNoRequestsUntilThen);
  CPPUNIT_TEST(CallerIsToldWhenTheFirstEndpointTakesRequestsAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests to an endpoint that has stated in an answer that it drains, when its
  // registration still says that it is ready (incident leaving-endpoints).
  void DrainingEndpointGetsNoRequestsWhileTheStoreIsSilent() {
    ScriptedServer draining(Answering("200 OK", "Server-Leaving: 1\r\n"));
    ScriptedServer ready(Answering("200 OK", ""));
    LoopbackRouter router(MakeRoute());
    router.Register("e1", draining.address());
    router.Register("e2", ready.address());
    SendAll(router);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(router.log().Text(), std::size_t{1}, draining.requests().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{kRequests - 1}, ready.requests().size());
  }

  // Guards against a ready endpoint that is left out because a draining one answers at its old
  // address.
  void AnotherEndpointDoesNotSpeakForThePlannedOne() {
    ScriptedServer server([](const Request& request, std::size_t number) {
      const std::string headers = number == 0 ? "Server-Leaving: 1\r\n" : "";
      return MakeAnswer(request, number == 0 ? "421 Misdirected" : "200 OK", headers);
    });
    LoopbackRouter router(MakeRoute());
    router.Register("e1", server.address());
    router.Request("a1");
    CPPUNIT_ASSERT(router.log().Text().find("endpoint_draining") == std::string::npos);
  }

  // Guards against requests to an endpoint that has answered 503 and asked not to be sent any for
  // some time.
  void EndpointThatAsksToWaitGetsNoRequestsUntilThen() {
    ScriptedServer full([](const Request& request, std::size_t number) {
      if (number > 0) return MakeAnswer(request, "200 OK", "");
      return MakeAnswer(request, "503 Full", "X-Bamboodock-Not-Executed: 1\r\nRetry-After: 2\r\n");
    });
    ScriptedServer ready(Answering("200 OK", ""));
    LoopbackRouter router(MakeRoute());
    router.Register("e1", full.address());
    router.Register("e2", ready.address());
    const auto begin = std::chrono::steady_clock::now();
    while (full.requests().size() < 2) SendAll(router);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin >= std::chrono::seconds(2));
  }

  // Guards against callers that wait for endpoints, or return to them, before any takes requests.
  void CallerIsToldWhenTheFirstEndpointTakesRequestsAgain() {
    ScriptedServer full(
        Answering("503 Full", "X-Bamboodock-Not-Executed: 1\r\nRetry-After: 60\r\n"));
    LoopbackRouter router(MakeRoute());
    router.Register("e1", full.address());
    router.Request("a1");
    const std::string answer = router.Request("a2");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(router.log().Text(), std::size_t{1}, full.requests().size());
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT_MESSAGE(answer, answer.find("Retry-After: 59.") != std::string::npos);
  }

 private:
  static void SendAll(LoopbackRouter& router) {
    for (int i = 0; i < kRequests; ++i) {
      const std::string answer = router.Request("a" + std::to_string(i));
      CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointStatementsTest);

}  // namespace bamboodock
