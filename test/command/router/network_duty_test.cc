#include "bamboodock/command/router/network_duty.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/read_until.hpp>

#include "fakes/planned_router.h"

namespace bamboodock {
namespace {

using ConnectionAction = ScriptedServer::ConnectionAction;
using Answer = ScriptedServer::Answer;

}  // namespace

class NetworkDutyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NetworkDutyTest);
  CPPUNIT_TEST(ForwardsRequestAndAnswer);
  CPPUNIT_TEST(UnsafeRequestIsNotRepeated);
  CPPUNIT_TEST(NotExecutedRequestIsRetriedElsewhere);
  CPPUNIT_TEST(RequestIsRetriedAfterConnectFailure);
  CPPUNIT_TEST(MismatchedAnswerIsNotDelivered);
  CPPUNIT_TEST(UnprovenNotRunStatusIsNotForwarded);
  CPPUNIT_TEST(RefusalOfAnotherRequestIsNotBelieved);
  CPPUNIT_TEST(TruncatedAnswerIsNotDelivered);
  CPPUNIT_TEST(AnswerWithACutHeadIsNotDelivered);
  CPPUNIT_TEST(LowConfidenceEscalatesToLargerModel);
  CPPUNIT_TEST(CallerDisconnectCancelsAttempt);
  CPPUNIT_TEST(AmbiguousFramingIsRefused);
  CPPUNIT_TEST(ExtraAnswerIsNotDelivered);
  CPPUNIT_TEST(ExpiredPlanIsNotSent);
  CPPUNIT_TEST(RequestReadDuringStopIsRefused);
  CPPUNIT_TEST(AbortRefusesOpenRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against API keys forwarded to endpoints and account headers forged by callers.
  void ForwardsRequestAndAnswer() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{FullAnswer("200 OK", std::string(kAnswerHeaders) + "X-Own: v\r\n", "done"),
                    ConnectionAction::kClose};
    });
    PlannedRouter router(MakeRoute(RouteKind::kUnsafe));
    router.Plan(endpoint.address());
    const std::string answer = router.Exchange(PostRequest());
    CPPUNIT_ASSERT(Contains(answer, "200 OK") && Contains(answer, "X-Own: v"));
    CPPUNIT_ASSERT(answer.ends_with("done"));
    const auto request = endpoint.requests().at(0);
    CPPUNIT_ASSERT(request.target() == "/a/1?q=2" && request.body() == "body");
    CPPUNIT_ASSERT(request["X-Bamboodock-Tenant"] == "acct");
    CPPUNIT_ASSERT(request["X-Bamboodock-Expect-Instance"] == "i-1");
    CPPUNIT_ASSERT(request.count("X-Api-Key") == 0);
    CPPUNIT_ASSERT(!request["X-Bamboodock-Time-Left-Ms"].empty());
  }

  // Guards against a retry of a non-idempotent request after a lost answer, which would run it
  // twice and, for example, issue a label twice.
  void UnsafeRequestIsNotRepeated() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{"", ConnectionAction::kReset};
    });
    PlannedRouter router(MakeRoute(RouteKind::kUnsafe));
    router.Plan(endpoint.address());
    router.Plan(endpoint.address());
    const std::string answer = router.Exchange(PostRequest());
    CPPUNIT_ASSERT(Contains(answer, "HTTP/1.1 502"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoint.requests().size());
  }

  // Guards against a refusal to the caller when only one endpoint is full.
  void NotExecutedRequestIsRetriedElsewhere() {
    ScriptedServer full([](const auto&, std::size_t) {
      return Answer{FullAnswer("503 Full", "X-Bamboodock-Not-Executed: 1\r\n", ""),
                    ConnectionAction::kClose};
    });
    ScriptedServer free([](const auto&, std::size_t) {
      return Answer{FullAnswer("200 OK", kAnswerHeaders, "done"), ConnectionAction::kClose};
    });
    PlannedRouter router(MakeRoute(RouteKind::kUnsafe));
    router.Plan(full.address());
    router.Plan(free.address());
    CPPUNIT_ASSERT(router.Exchange(PostRequest()).ends_with("done"));
    CPPUNIT_ASSERT(router.reasons.at(1) == PlanReason::kNotRun);
  }

  // Guards against a refusal to the caller when only one endpoint cannot be reached.
  void RequestIsRetriedAfterConnectFailure() {
    ScriptedServer free([](const auto&, std::size_t) {
      return Answer{FullAnswer("200 OK", kAnswerHeaders, "done"), ConnectionAction::kClose};
    });
    PlannedRouter router(MakeRoute(RouteKind::kUnsafe));
    router.Plan({"127.0.0.1", 1});
    router.Plan(free.address());
    CPPUNIT_ASSERT(router.Exchange(PostRequest()).ends_with("done"));
  }

  // Guards against delivery of an answer that belongs to another request.
  void MismatchedAnswerIsNotDelivered() {
    ScriptedServer endpoint([](const auto&, std::size_t number) {
      const std::string id = number == 0 ? "other" : "a1";
      return Answer{
          FullAnswer("200 OK",
                     "X-Bamboodock-Attempt-Id: " + id + "\r\nX-Bamboodock-Response-Stamp: s\r\n",
                     "for " + id),
          ConnectionAction::kClose};
    });
    PlannedRouter router(MakeRoute(RouteKind::kSafe));
    router.Plan(endpoint.address());
    router.Plan(endpoint.address());
    CPPUNIT_ASSERT(router.Exchange(PostRequest()).ends_with("for a1"));
  }

  // Guards against forwarding a 503, which means "not run", for a request that may have run.
  void UnprovenNotRunStatusIsNotForwarded() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{FullAnswer("503 Busy", kAnswerHeaders, ""), ConnectionAction::kClose};
    });
    PlannedRouter router(MakeRoute(RouteKind::kUnsafe));
    router.Plan(endpoint.address());
    const std::string answer = router.Exchange(PostRequest());
    CPPUNIT_ASSERT(Contains(answer, "HTTP/1.1 502") && !Contains(answer, "Response-Stamp"));
  }

  // Guards against a request that runs twice, or is refused as not run although it runs, because
  // its endpoint sends an earlier refusal once more.
  void RefusalOfAnotherRequestIsNotBelieved() {
    ScriptedServer faulty([](const auto&, std::size_t) {
      return Answer{FullAnswer("503 Full",
                               "X-Bamboodock-Attempt-Id: earlier\r\n"
                               "X-Bamboodock-Not-Executed: 1\r\n",
                               ""),
                    ConnectionAction::kClose};
    });
    ScriptedServer second([](const auto&, std::size_t) {
      return Answer{FullAnswer("200 OK", kAnswerHeaders, "done"), ConnectionAction::kClose};
    });
    PlannedRouter router(MakeRoute(RouteKind::kUnsafe));
    router.Plan(faulty.address());
    router.Plan(second.address());
    const std::string answer = router.Exchange(PostRequest());
    CPPUNIT_ASSERT_MESSAGE(answer, Contains(answer, "HTTP/1.1 502"));
    CPPUNIT_ASSERT(second.requests().empty());
  }

  // Guards against a truncated answer that is delivered as complete.
  void TruncatedAnswerIsNotDelivered() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      const std::string whole = FullAnswer("200 OK", kAnswerHeaders, "0123456789");
      return Answer{whole.substr(0, whole.size() - 4), ConnectionAction::kClose};
    });
    PlannedRouter router(MakeRoute(RouteKind::kUnsafe));
    router.Plan(endpoint.address());
    const std::string answer = router.Exchange(PostRequest());
    CPPUNIT_ASSERT(Contains(answer, "HTTP/1.1 502") && !Contains(answer, "012345"));
  }

  // Guards against delivery of a low-confidence answer when a larger model is available.
  void LowConfidenceEscalatesToLargerModel() {
    ScriptedServer endpoint([](const auto& request, std::size_t) {
      const bool small = request["X-Bamboodock-Model"] == "m0";
      return Answer{StreamHead(small ? 30 : 80) + Chunk(StreamEvent(small ? 7 : 1)) + "0\r\n\r\n",
                    ConnectionAction::kClose};
    });
    Route route = MakeRoute(RouteKind::kStream, true);
    route.models = {ModelId("m0"), ModelId("m1"), ModelId("m2")};
    PlannedRouter router(route);
    router.Plan(endpoint.address());
    router.Plan(endpoint.address());
    const std::string answer = router.Exchange(PostRequest("X-Bamboodock-Model: *\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, endpoint.requests().size());
    CPPUNIT_ASSERT(endpoint.requests().at(1)["X-Bamboodock-Model"] == "m2");
    CPPUNIT_ASSERT(Contains(answer, StreamEvent(1)) && !Contains(answer, StreamEvent(7)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, router.counters().answers_by_model.at(0).load());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, router.counters().answers_by_model.at(2).load());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{80}, router.counters().confidence_sum.at(2).load());
  }

  // Guards against endpoints that keep working on requests of disconnected callers.
  void CallerDisconnectCancelsAttempt() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{"", ConnectionAction::kWaitForPeer};
    });
    PlannedRouter router(MakeRoute(RouteKind::kSafe));
    router.Plan(endpoint.address());
    {
      boost::asio::ip::tcp::socket caller = router.Connect();
      boost::asio::write(caller, boost::asio::buffer(PostRequest()));
      while (endpoint.requests().empty()) std::this_thread::yield();
    }
    CPPUNIT_ASSERT(endpoint.WaitForPeerClose(std::chrono::seconds(10)));
  }

  // Guards against request smuggling: a second request hidden in the body of the first.
  void AmbiguousFramingIsRefused() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{FullAnswer("200 OK", kAnswerHeaders, "done"), ConnectionAction::kClose};
    });
    const std::string head = "POST /a/ HTTP/1.1\r\nHost: h\r\nX-Bamboodock-Attempt-Id: a1\r\n";
    const std::vector<std::string> bad{
        head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET",
        head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody1",
        head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        head + "X-A: 1\r\n folded: 2\r\nContent-Length: 0\r\n\r\n",
        head + "X-A: 1\nContent-Length: 0\r\n\r\n",
        head + "Host: other\r\nContent-Length: 0\r\n\r\n",
        head + "Content-Length: -1\r\n\r\n",
        "POST http://h/a/ HTTP/1.1\r\nHost: h\r\nX-Bamboodock-Attempt-Id: a1\r\n\r\n",
        "nonsense\r\n\r\n"};
    for (const std::string& bytes : bad) {
      PlannedRouter router(MakeRoute(RouteKind::kSafe));
      router.Plan(endpoint.address());
      const std::string answer = router.Exchange(bytes);
      CPPUNIT_ASSERT_MESSAGE(bytes, Contains(answer, "HTTP/1.1 400"));
    }
    CPPUNIT_ASSERT(endpoint.requests().empty());
  }

  // Guards against a second copy of an answer that reaches the next request on the same connection.
  void ExtraAnswerIsNotDelivered() {
    ScriptedServer endpoint([](const auto&, std::size_t number) {
      const std::string answer =
          FullAnswer("200 OK", kAnswerHeaders, "answer " + std::to_string(number));
      return Answer{answer + answer, ConnectionAction::kKeep};
    });
    PlannedRouter router(MakeRoute(RouteKind::kSafe));
    router.Plan(endpoint.address());
    router.Plan(endpoint.address());
    std::string first = PostRequest();
    const std::string close = "Connection: close\r\n";
    first.erase(first.find(close), close.size());
    const std::string answers = router.Exchange(first + PostRequest());
    const std::size_t second = answers.find("answer 1");
    CPPUNIT_ASSERT(Contains(answers, "answer 0") && second != std::string::npos);
    CPPUNIT_ASSERT(answers.find("answer 0", answers.find("answer 0") + 1) == std::string::npos);
    CPPUNIT_ASSERT(answers.find("answer 1", second + 1) == std::string::npos);
  }

  // Guards against a success with an empty or short body when an endpoint ends in the middle of the
  // head of its answer.
  void AnswerWithACutHeadIsNotDelivered() {
    constexpr std::size_t kStep = 5;
    const std::string whole = FullAnswer("200 OK", kAnswerHeaders, "");
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    for (const RouteKind kind : {RouteKind::kUnsafe, RouteKind::kStream}) {
      for (std::size_t size = 1; size < whole.size(); size += kStep) {
        for (const std::string& before : {std::string(), interim}) {
          ScriptedServer endpoint([&](const auto&, std::size_t) {
            return Answer{before + whole.substr(0, size), ConnectionAction::kClose};
          });
          PlannedRouter router(MakeRoute(kind));
          router.Plan(endpoint.address());
          const std::string answer = router.Exchange(PostRequest());
          CPPUNIT_ASSERT_MESSAGE(whole.substr(0, size) + "\n" + answer,
                                 answer.starts_with("HTTP/1.1 502"));
        }
      }
    }
  }

  // Guards against a request that is sent on a permission that ran out while the process was paused
  // or the connection was opened.
  void ExpiredPlanIsNotSent() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{FullAnswer("200 OK", kAnswerHeaders, "done"), ConnectionAction::kClose};
    });
    PlannedRouter router(MakeRoute(RouteKind::kUnsafe));
    router.PlanExpired(endpoint.address());
    const std::string answer = router.Exchange(PostRequest());
    CPPUNIT_ASSERT(Contains(answer, "HTTP/1.1 503") && Contains(answer, "Retry-After: "));
    CPPUNIT_ASSERT(endpoint.requests().empty());
  }

  // Guards against a request that is cut without an answer because it arrives while the process
  // stops.
  void RequestReadDuringStopIsRefused() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{FullAnswer("200 OK", kAnswerHeaders, "done"), ConnectionAction::kClose};
    });
    PlannedRouter router(MakeRoute(RouteKind::kSafe));
    router.Plan(endpoint.address());
    std::string first = PostRequest();
    const std::string close = "Connection: close\r\n";
    first.erase(first.find(close), close.size());
    const std::string second = PostRequest();
    const std::size_t half = second.size() / 2;
    boost::asio::ip::tcp::socket caller = router.Connect();
    boost::asio::write(caller, boost::asio::buffer(first + second.substr(0, half)));
    std::string received;
    boost::asio::read_until(caller, boost::asio::dynamic_buffer(received), "done");
    router.network().CloseIdle();
    boost::asio::write(caller, boost::asio::buffer(second.substr(half)));
    const std::string answer = ReadToEnd(caller);
    CPPUNIT_ASSERT_MESSAGE(answer, Contains(answer, "HTTP/1.1 503"));
    CPPUNIT_ASSERT(Contains(answer, "Retry-After: "));
    CPPUNIT_ASSERT(router.network().AwaitIdle(std::chrono::seconds(10)));
  }

  // Guards against a process that ends without a word to the callers whose requests are open, and
  // against a promise that an unsafe request has not run.
  void AbortRefusesOpenRequests() {
    for (const RouteKind kind : {RouteKind::kSafe, RouteKind::kUnsafe}) {
      ScriptedServer endpoint([](const auto&, std::size_t) {
        return Answer{"", ConnectionAction::kWaitForPeer};
      });
      PlannedRouter router(MakeRoute(kind));
      router.Plan(endpoint.address());
      boost::asio::ip::tcp::socket caller = router.Connect();
      boost::asio::write(caller, boost::asio::buffer(PostRequest()));
      while (endpoint.requests().empty()) std::this_thread::yield();
      router.network().BeginDrain();
      router.network().CloseIdle();
      CPPUNIT_ASSERT(!router.network().AwaitIdle(std::chrono::milliseconds(1)));
      router.network().AbortOpen();
      CPPUNIT_ASSERT(router.network().AwaitIdle(std::chrono::seconds(10)));
      const std::string answer = ReadToEnd(caller);
      const bool safe = kind == RouteKind::kSafe;
      CPPUNIT_ASSERT_MESSAGE(answer, Contains(answer, safe ? "HTTP/1.1 503" : "HTTP/1.1 502"));
      CPPUNIT_ASSERT_EQUAL(safe, Contains(answer, "Retry-After: "));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NetworkDutyTest);

}  // namespace bamboodock
