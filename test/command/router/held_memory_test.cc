#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/steady_timer.hpp>

#include "fakes/planned_router.h"

namespace bamboodock {
namespace {

using ConnectionAction = ScriptedServer::ConnectionAction;
using Answer = ScriptedServer::Answer;

constexpr HostCapacity kSmallHost{Bytes(0), 1024};
constexpr std::size_t kBodyBytes = 1000000;
/// Bodies that fit in the 6 MiB that large claims may use on `kSmallHost`.
constexpr std::size_t kFittingBodies = 6;

std::string Head(const std::string& framing) {
  return "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nX-Bamboodock-Attempt-Id: a1\r\n"
         "Connection: close\r\n" +
         framing + "\r\n\r\n";
}

std::string LargeHead() { return Head("Content-Length: " + std::to_string(kBodyBytes)); }

/// Large request without its last byte.
std::string OpenUpload() { return LargeHead() + std::string(kBodyBytes - 1, 'x'); }

ScriptedServer::Script Answers() {
  return [](const auto&, std::size_t) {
    return Answer{FullAnswer("200 OK", kAnswerHeaders, "done"), ConnectionAction::kClose};
  };
}

template <class Condition>
void Await(Condition condition) {
  while (!condition()) std::this_thread::yield();
}

}  // namespace

/// Memory that a router holds for its callers, over real sockets.
class HeldMemoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeldMemoryTest);
  CPPUNIT_TEST(OldestUploadIsGivenUpAndNotPlanned);
  CPPUNIT_TEST(UploadWithoutRoomIsRefused);
  CPPUNIT_TEST(CloseOfTheCallerReleasesItsUpload);
  CPPUNIT_TEST(PlannedStopReleasesUploads);
  CPPUNIT_TEST(BodyCountsUntilItsRequestHasEnded);
  CPPUNIT_TEST(AnswerWithoutRoomIsNotCalledUnrun);
  CPPUNIT_TEST(LongTrailersAndExtensionsAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an upload that never ends and keeps others out, and against a refusal that says
  // "not run" for a request that was planned.
  void OldestUploadIsGivenUpAndNotPlanned() {
    ScriptedServer endpoint(Answers());
    PlannedRouter router(MakeRoute(RouteKind::kUnsafe), kSmallHost);
    router.Plan(endpoint.address());
    std::vector<boost::asio::ip::tcp::socket> stalled;
    for (std::size_t i = 0; i < kFittingBodies; ++i) stalled.push_back(Send(router, OpenUpload()));
    boost::asio::steady_timer(stalled[0].get_executor(), UploadQueue::kMinAge).wait();
    CPPUNIT_ASSERT(Contains(router.Exchange(OpenUpload() + "x"), "done"));
    AssertRefused(ReadToEnd(stalled[0]));
    CPPUNIT_ASSERT(router.counters().uploads_given_up == 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, router.reasons.size());
    stalled.clear();
    Await([&] { return router.counters().held_bytes == 0; });
  }

  // Guards against an upload in progress that is given up for one that comes at the same time.
  void UploadWithoutRoomIsRefused() {
    ScriptedServer endpoint(Answers());
    PlannedRouter router(MakeRoute(RouteKind::kUnsafe), kSmallHost);
    router.Plan(endpoint.address());
    std::vector<boost::asio::ip::tcp::socket> uploads;
    for (std::size_t i = 0; i < kFittingBodies; ++i) uploads.push_back(Send(router, OpenUpload()));
    boost::asio::ip::tcp::socket late = router.Connect();
    boost::system::error_code error;
    boost::asio::write(late, boost::asio::buffer(OpenUpload()), error);
    Await([&] { return router.counters().refused_for_memory == 1; });
    // On a machine that stalls, the first upload may be old enough to be given up.
    if (router.counters().uploads_given_up > 0) return;
    boost::asio::write(uploads[0], boost::asio::buffer("x", 1));
    CPPUNIT_ASSERT(Contains(ReadToEnd(uploads[0]), "done"));
  }

  // Guards against memory that stays claimed for a caller that has left.
  void CloseOfTheCallerReleasesItsUpload() {
    PlannedRouter router(MakeRoute(RouteKind::kUnsafe), kSmallHost);
    boost::asio::ip::tcp::socket caller = Send(router, OpenUpload());
    caller.close();
    Await([&] { return router.counters().held_bytes == 0; });
    CPPUNIT_ASSERT(router.counters().refused_for_memory == 0);
  }

  // Guards against a planned stop that an upload without end holds up, and against memory that
  // stays claimed after it.
  void PlannedStopReleasesUploads() {
    PlannedRouter router(MakeRoute(RouteKind::kUnsafe), kSmallHost);
    boost::asio::ip::tcp::socket caller = Send(router, OpenUpload());
    router.network().BeginDrain();
    router.network().CloseIdle();
    CPPUNIT_ASSERT(!router.network().AwaitIdle(std::chrono::milliseconds(1)));
    router.network().AbortOpen();
    CPPUNIT_ASSERT(router.network().AwaitIdle(std::chrono::seconds(10)));
    Await([&] { return router.counters().held_bytes == 0; });
    CPPUNIT_ASSERT(router.reasons.empty());
  }

  // Guards against bodies that are kept for a repeat and no longer counted.
  void BodyCountsUntilItsRequestHasEnded() {
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{"", ConnectionAction::kFinishLater,
                    FullAnswer("200 OK", kAnswerHeaders, "done")};
    });
    PlannedRouter router(MakeRoute(RouteKind::kUnsafe), kSmallHost);
    router.Plan(endpoint.address());
    boost::asio::ip::tcp::socket caller = router.Connect();
    boost::asio::write(caller, boost::asio::buffer(OpenUpload() + "x"));
    Await([&] { return !endpoint.requests().empty(); });
    CPPUNIT_ASSERT(router.counters().held_bytes >= kBodyBytes);
    CPPUNIT_ASSERT(Contains(ReadToEnd(caller), "done"));
    Await([&] { return router.counters().held_bytes == 0; });
  }

  // Guards against an answer that is held beyond the budget, and against "not run" for its request.
  void AnswerWithoutRoomIsNotCalledUnrun() {
    constexpr std::size_t kOpenRequests = 3;
    ScriptedServer silent([](const auto&, std::size_t) {
      return Answer{"", ConnectionAction::kWaitForPeer};
    });
    ScriptedServer endpoint([](const auto&, std::size_t) {
      return Answer{FullAnswer("200 OK", kAnswerHeaders, std::string(4 * kBodyBytes, 'y')),
                    ConnectionAction::kClose};
    });
    Route route = MakeRoute(RouteKind::kSafe);
    route.timeout = std::chrono::seconds(60);
    route.max_attempts = 1;
    PlannedRouter router(route, kSmallHost);
    std::vector<boost::asio::ip::tcp::socket> open;
    for (std::size_t i = 0; i < kOpenRequests; ++i) {
      router.Plan(silent.address());
      open.push_back(Send(router, OpenUpload() + "x"));
      Await([&] { return silent.requests().size() == i + 1; });
    }
    router.Plan(endpoint.address());
    const std::string answer = router.Exchange(OpenUpload() + "x");
    CPPUNIT_ASSERT_MESSAGE(answer.substr(0, 200), answer.starts_with("HTTP/1.1 502"));
    open.clear();
    Await([&] { return router.counters().held_bytes == 0; });
  }

  // Guards against memory that grows with the trailers or with the extension of a chunk.
  void LongTrailersAndExtensionsAreRefused() {
    PlannedRouter router(MakeRoute(RouteKind::kUnsafe), kSmallHost);
    const std::string head = Head("Transfer-Encoding: chunked");
    const std::string many(CallerLimits().header.value() + 1, 't');
    for (const std::string& body : {"4\r\nbody\r\n0\r\nX-Trailer: " + many + "\r\n\r\n",
                                    "4;name=" + many + "\r\nbody\r\n0\r\n\r\n"}) {
      const std::string answer = router.Exchange(head + body);
      CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 431"));
    }
    CPPUNIT_ASSERT(router.reasons.empty());
  }

 private:
  /// Sends a large request on a new connection and waits until the router holds its body.
  static boost::asio::ip::tcp::socket Send(PlannedRouter& router, const std::string& bytes) {
    const std::uint64_t before = router.counters().held_bytes;
    boost::asio::ip::tcp::socket caller = router.Connect();
    boost::asio::write(caller, boost::asio::buffer(bytes));
    Await([&] { return router.counters().held_bytes >= before + kBodyBytes; });
    return caller;
  }

  static void AssertRefused(const std::string& answer) {
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT_MESSAGE(answer, Contains(answer, "\"overloaded\""));
    CPPUNIT_ASSERT_MESSAGE(answer, Contains(answer, "Retry-After: 1.000"));
    CPPUNIT_ASSERT_MESSAGE(answer, Contains(answer, "Connection: close"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldMemoryTest);

}  // namespace bamboodock
