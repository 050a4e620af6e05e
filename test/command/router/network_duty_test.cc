#include "bamboodock/command/router/network_duty.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <sstream>

#include "bamboodock/core/boot_clock.h"
#include "fakes/fake_event_log.h"
#include "fakes/scripted_server.h"
#include "platform/http_wire_protocol.h"

namespace bamboodock {
namespace {

using ConnectionAction = ScriptedServer::ConnectionAction;
using Answer = ScriptedServer::Answer;

constexpr const char* kAnswerHeaders =
    "X-Bamboodock-Attempt-Id: a1\r\nX-Bamboodock-Response-Stamp: s\r\n";

std::string FullAnswer(const std::string& status, const std::string& headers,
                       const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Chunk(const std::string& text) {
  std::ostringstream chunk;
  chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
  return chunk.str();
}

std::string StreamHead(int confidence) {
  return "HTTP/1.1 200 OK\r\n" + std::string(kAnswerHeaders) +
         "Content-Type: text/event-stream\r\nX-Bamboodock-Confidence: " +
         std::to_string(confidence) + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string StreamEvent(int id) {
  return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

/// Returns all bytes received until the peer closes the connection.
std::string ReadToEnd(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code error;
  std::string answer;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
  return answer;
}

/// Thread-safe log that discards all lines.
class NullEventLog final : public EventLog {
 public:
  void Write(Event, const RequestId&, const std::string&) override {}
};

/// Network duty whose plans use the endpoints set by the test, one after another.
class TestRouter {
 public:
  explicit TestRouter(Route route) : network_({"127.0.0.1", 0}, {"127.0.0.1", 0}, Services()) {
    route_ = std::move(route);
    service_.id = ServiceId("s1");
    network_.Start();
  }
  ~TestRouter() { network_.Stop(); }

  NetworkDuty& network() { return network_; }
  const RouterCounters& counters() const { return counters_; }
  void Plan(const Address& endpoint) { endpoints_.push_back(endpoint); }
  /// Plans an attempt that must not be sent any more.
  void PlanExpired(const Address& endpoint) {
    valid_until_ = clock_.Now();
    Plan(endpoint);
  }
  std::vector<PlanReason> reasons;

  /// Sends bytes on a new connection and returns all bytes received until it closes.
  std::string Exchange(const std::string& bytes) {
    boost::asio::ip::tcp::socket socket = Connect();
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
    return ReadToEnd(socket);
  }

  boost::asio::ip::tcp::socket Connect() {
    boost::asio::ip::tcp::socket socket(loop_);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), network_.caller_port()});
    return socket;
  }

 private:
  NetworkServices Services() {
    return {wire_,
            clock_,
            log_,
            counters_,
            ModelEscalation({60}),
            AnswerLimits(),
            [this](RouteCommand command) { return Receive(std::move(command)); },
            [] { return Ref<const RouterStatus>(MakeRef<RouterStatus>()); }};
  }

  bool Receive(RouteCommand command) {
    auto* query = std::get_if<PlanQuery>(&command);
    if (query == nullptr) return true;
    reasons.push_back(query->reason);
    PlanAnswer answer;
    answer.refusal = {
        ResultCode::kNoEndpoint, "no endpoint set by the test", RunState::kNotRun, {}};
    if (!endpoints_.empty()) answer.plan = MakePlan(*query);
    return network_.Post({query->receiver, std::move(answer)});
  }

  AttemptPlan MakePlan(const PlanQuery& query) {
    AttemptPlan plan;
    plan.progress.route = &route_;
    plan.progress.service = &service_;
    plan.progress.account = ClientAccountId("acct");
    plan.endpoint = EndpointId("i-" + std::to_string(reasons.size()));
    plan.address = endpoints_.front();
    endpoints_.pop_front();
    if (!route_.models.empty()) {
      plan.model = query.model.empty() ? route_.models.front() : query.model;
    }
    plan.progress.model = plan.model;
    plan.valid_until = valid_until_;
    return plan;
  }

  Route route_;
  RoutedService service_;
  std::deque<Address> endpoints_;
  MonotonicTime valid_until_ = MonotonicTime::max();
  platform::HttpWireProtocol wire_;
  BootClock clock_;
  NullEventLog log_;
  RouterCounters counters_;
  NetworkDuty network_;
  boost::asio::io_context loop_;
};

Route MakeRoute(RouteKind kind, bool resumable = false) {
  Route route;
  route.kind = kind;
  route.resumable = resumable;
  route.max_attempts = 3;
  route.timeout = std::chrono::seconds(5);
  route.latency_objective = std::chrono::seconds(2);
  route.interval_objective = std::chrono::seconds(2);
  return route;
}

std::string Post(const std::string& extra = "") {
  return "POST /a/1?q=2 HTTP/1.1\r\nHost: h.example\r\nX-Bamboodock-Attempt-Id: a1\r\n"
         "X-Api-Key: secret\r\nX-Bamboodock-Tenant: forged\r\nConnection: close\r\n" +
         extra + "Content-Length: 4\r\n\r\nbody";
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

class NetworkDutyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NetworkDutyTest);
  CPPUNIT_TEST(ForwardsRequestAndAnswer);
  CPPUNIT_TEST(UnsafeRequestIsNotRepeated);
  CPPUNIT_TEST(NotExecutedRequestIsRetriedElsewhere);
  CPPUNIT_TEST(RequestIsRetriedAfterConnectFailure);
  CPPUNIT_TEST(MismatchedAnswerIsNotDelivered);
  CPPUNIT_TEST(UnprovenNotRunStatusIsNotForwarded);
  CPPUNIT_TEST(TruncatedAnswerIsNotDelivered);
  CPPUNIT_TEST(BrokenStreamIsResumed);
  CPPUNIT_TEST(NonResumableStreamEndsTruncated);
  CPPUNIT_TEST(LowConfidenceEscalatesToLargerModel);
  CPPUNIT_TEST(CallerDisconnectCancelsAttempt);
  CPPUNIT_TEST(AmbiguousFramingIsRefused);
  CPPUNIT_TEST(ExtraAnswerIsNotDelivered);
  CPPUNIT_TEST(ExpiredPlanIsNotSent);
  CPPUNIT_TEST(RequestReadDuringStopIsRefused);
  CPPUNIT_TEST(EndlessHeadIsGivenUp);
  CPPUNIT_TEST(EndlessInterimHeadsAreGivenUp);
  CPPUNIT_TEST(EndlessBodyIsGivenUp);
  CPPUNIT_TEST(EndlessChunkExtensionIsGivenUp);
  CPPUNIT_TEST(EndlessEventIsGivenUp);
  CPPUNIT_TEST(TricklingStreamIsResumedElsewhere);
  CPPUNIT_TEST(TricklingHeadIsRetriedElsewhere);
  CPPUNIT_TEST(SlowStreamIsNotCut);
  CPPUNIT_TEST(AbortRefusesOpenRequests);
  CPPUNIT_TEST(AbortTruncatesOpenStreams);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against API keys forwarded to endpoints and account headers forged by callers.
  void ForwardsRequestAndAnswer() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{FullAnswer("200 OK", std::string(kAnswerHeaders) + "X-Own: v\r\n", "done"),
                    ConnectionAction::kClose};
    });
    TestRouter router(MakeRoute(RouteKind::kUnsafe));
    router.Plan(endpoint.address());
    const std::string answer = router.Exchange(Post());
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
    TestRouter router(MakeRoute(RouteKind::kUnsafe));
    router.Plan(endpoint.address());
    router.Plan(endpoint.address());
    const std::string answer = router.Exchange(Post());
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
    TestRouter router(MakeRoute(RouteKind::kUnsafe));
    router.Plan(full.address());
    router.Plan(free.address());
    CPPUNIT_ASSERT(router.Exchange(Post()).ends_with("done"));
    CPPUNIT_ASSERT(router.reasons.at(1) == PlanReason::kNotRun);
  }

  // Guards against a refusal to the caller when only one endpoint cannot be reached.
  void RequestIsRetriedAfterConnectFailure() {
    ScriptedServer free([](const auto&, std::size_t) {
      return Answer{FullAnswer("200 OK", kAnswerHeaders, "done"), ConnectionAction::kClose};
    });
    TestRouter router(MakeRoute(RouteKind::kUnsafe));
    router.Plan({"127.0.0.1", 1});
    router.Plan(free.address());
    CPPUNIT_ASSERT(router.Exchange(Post()).ends_with("done"));
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
    TestRouter router(MakeRoute(RouteKind::kSafe));
    router.Plan(endpoint.address());
    router.Plan(endpoint.address());
    CPPUNIT_ASSERT(router.Exchange(Post()).ends_with("for a1"));
  }

  // Guards against forwarding a 503, which means "not run", for a request that may have run.
  void UnprovenNotRunStatusIsNotForwarded() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{FullAnswer("503 Busy", kAnswerHeaders, ""), ConnectionAction::kClose};
    });
    TestRouter router(MakeRoute(RouteKind::kUnsafe));
    router.Plan(endpoint.address());
    const std::string answer = router.Exchange(Post());
    CPPUNIT_ASSERT(Contains(answer, "HTTP/1.1 502") && !Contains(answer, "Response-Stamp"));
  }

  // Guards against a truncated answer that is delivered as complete.
  void TruncatedAnswerIsNotDelivered() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      const std::string whole = FullAnswer("200 OK", kAnswerHeaders, "0123456789");
      return Answer{whole.substr(0, whole.size() - 4), ConnectionAction::kClose};
    });
    TestRouter router(MakeRoute(RouteKind::kUnsafe));
    router.Plan(endpoint.address());
    const std::string answer = router.Exchange(Post());
    CPPUNIT_ASSERT(Contains(answer, "HTTP/1.1 502") && !Contains(answer, "012345"));
  }

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
    TestRouter router(MakeRoute(RouteKind::kStream, true));
    router.Plan(first.address());
    router.Plan(second.address());
    const std::string answer = router.Exchange(Post());
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
    TestRouter router(MakeRoute(RouteKind::kStream, false));
    router.Plan(endpoint.address());
    router.Plan(endpoint.address());
    const std::string answer = router.Exchange(Post());
    CPPUNIT_ASSERT(!answer.ends_with("0\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoint.requests().size());
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
    TestRouter router(route);
    router.Plan(endpoint.address());
    router.Plan(endpoint.address());
    const std::string answer = router.Exchange(Post("X-Bamboodock-Model: *\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, endpoint.requests().size());
    CPPUNIT_ASSERT(endpoint.requests().at(1)["X-Bamboodock-Model"] == "m2");
    CPPUNIT_ASSERT(Contains(answer, StreamEvent(1)) && !Contains(answer, StreamEvent(7)));
  }

  // Guards against endpoints that keep working on requests of disconnected callers.
  void CallerDisconnectCancelsAttempt() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{"", ConnectionAction::kWaitForPeer};
    });
    TestRouter router(MakeRoute(RouteKind::kSafe));
    router.Plan(endpoint.address());
    {
      boost::asio::ip::tcp::socket caller = router.Connect();
      boost::asio::write(caller, boost::asio::buffer(Post()));
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
      TestRouter router(MakeRoute(RouteKind::kSafe));
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
    TestRouter router(MakeRoute(RouteKind::kSafe));
    router.Plan(endpoint.address());
    router.Plan(endpoint.address());
    std::string first = Post();
    const std::string close = "Connection: close\r\n";
    first.erase(first.find(close), close.size());
    const std::string answers = router.Exchange(first + Post());
    const std::size_t second = answers.find("answer 1");
    CPPUNIT_ASSERT(Contains(answers, "answer 0") && second != std::string::npos);
    CPPUNIT_ASSERT(answers.find("answer 0", answers.find("answer 0") + 1) == std::string::npos);
    CPPUNIT_ASSERT(answers.find("answer 1", second + 1) == std::string::npos);
  }

  // Guards against a request that is sent on a permission that ran out while the process was paused
  // or the connection was opened.
  void ExpiredPlanIsNotSent() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{FullAnswer("200 OK", kAnswerHeaders, "done"), ConnectionAction::kClose};
    });
    TestRouter router(MakeRoute(RouteKind::kUnsafe));
    router.PlanExpired(endpoint.address());
    const std::string answer = router.Exchange(Post());
    CPPUNIT_ASSERT(Contains(answer, "HTTP/1.1 503") && Contains(answer, "Retry-After: "));
    CPPUNIT_ASSERT(endpoint.requests().empty());
  }

  // Guards against a request that is cut without an answer because it arrives while the process
  // stops.
  void RequestReadDuringStopIsRefused() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{FullAnswer("200 OK", kAnswerHeaders, "done"), ConnectionAction::kClose};
    });
    TestRouter router(MakeRoute(RouteKind::kSafe));
    router.Plan(endpoint.address());
    std::string first = Post();
    const std::string close = "Connection: close\r\n";
    first.erase(first.find(close), close.size());
    const std::string second = Post();
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

  // Guards against a stalled stream that never ends because it sends a byte now and then.
  void TricklingStreamIsResumedElsewhere() {
    ScriptedServer stalled([](const auto&, std::size_t) {
      return Answer{StreamHead(90) + Chunk(StreamEvent(1)), ConnectionAction::kTrickle, Chunk(":")};
    });
    ScriptedServer sound([](const auto&, std::size_t) {
      return Answer{StreamHead(90) + Chunk(StreamEvent(2)) + "0\r\n\r\n", ConnectionAction::kClose};
    });
    TestRouter router(MakeFastRoute(RouteKind::kStream));
    router.Plan(stalled.address());
    router.Plan(sound.address());
    const std::string answer = router.Exchange(Post());
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
    TestRouter router(MakeFastRoute(RouteKind::kSafe));
    router.Plan(stalled.address());
    router.Plan(sound.address());
    CPPUNIT_ASSERT(router.Exchange(Post()).ends_with("done"));
  }

  // Guards against a sound stream that is cut because its events come slowly and no other endpoint
  // can take it over.
  void SlowStreamIsNotCut() {
    ScriptedServer slow([](const auto&, std::size_t) {
      return Answer{StreamHead(90) + Chunk(StreamEvent(1)), ConnectionAction::kFinishLater,
                    Chunk(StreamEvent(2)) + "0\r\n\r\n"};
    });
    TestRouter router(MakeFastRoute(RouteKind::kStream));
    router.Plan(slow.address());
    const std::string answer = router.Exchange(Post());
    CPPUNIT_ASSERT(Contains(answer, StreamEvent(2)) && answer.ends_with("0\r\n\r\n"));
    CPPUNIT_ASSERT(router.reasons.back() == PlanReason::kResume);
  }

  // Guards against a process that ends without a word to the callers whose requests are open, and
  // against a promise that an unsafe request has not run.
  void AbortRefusesOpenRequests() {
    for (const RouteKind kind : {RouteKind::kSafe, RouteKind::kUnsafe}) {
      ScriptedServer endpoint([](const auto&, std::size_t) {
        return Answer{"", ConnectionAction::kWaitForPeer};
      });
      TestRouter router(MakeRoute(kind));
      router.Plan(endpoint.address());
      boost::asio::ip::tcp::socket caller = router.Connect();
      boost::asio::write(caller, boost::asio::buffer(Post()));
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

  // Guards against a stream that is cut at the end of the grace time and looks complete.
  void AbortTruncatesOpenStreams() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{StreamHead(90) + Chunk(StreamEvent(1)), ConnectionAction::kWaitForPeer};
    });
    TestRouter router(MakeRoute(RouteKind::kStream, true));
    router.Plan(endpoint.address());
    boost::asio::ip::tcp::socket caller = router.Connect();
    boost::asio::write(caller, boost::asio::buffer(Post()));
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
    TestRouter router(route);
    router.Plan(endless.address());
    router.Plan(sound.address());
    const std::string answer = router.Exchange(Post());
    CPPUNIT_ASSERT_MESSAGE(answer.substr(0, 200),
                           Contains(answer, kind == RouteKind::kStream ? "id: 1" : "done"));
    CPPUNIT_ASSERT(router.counters().answers_over_limit == 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NetworkDutyTest);

}  // namespace bamboodock
