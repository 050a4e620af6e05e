#include <cppunit/extensions/HelperMacros.h>

#include "fakes/late_reading_server.h"
#include "fakes/planned_router.h"
#include "fakes/unread_upload_server.h"

namespace bamboodock {
namespace {

using Ending = UnreadUploadServer::Ending;

std::string LongRequest() {
  // More than the send buffer of a socket and the receive buffer of the server hold.
  constexpr std::size_t kBodyBytes = 4194304;
  return "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nX-Bamboodock-Attempt-Id: a1\r\n"
         "Connection: close\r\nContent-Length: " +
         std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kBodyBytes, 'x');
}

/// Begin of an answer whose end is the end of the connection.
std::string UnframedAnswer() {
  return "HTTP/1.1 200 OK\r\n" + std::string(kAnswerHeaders) +
         "Content-Type: text/event-stream\r\n\r\n" + StreamEvent(1);
}

}  // namespace

/// Endpoints that answer a long request at once and end the connection before they have read it.
class UnreadUploadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnreadUploadTest);
  CPPUNIT_TEST(UnsafeAnswerCutByAResetIsNotDelivered);
  CPPUNIT_TEST(SafeAnswerCutByAResetIsRepeatedElsewhere);
  CPPUNIT_TEST(StreamCutByAResetEndsTruncated);
  CPPUNIT_TEST(StreamCutByAResetIsResumed);
  CPPUNIT_TEST(ErrorAnswerCutByAResetIsNotDelivered);
  CPPUNIT_TEST(AnswerThatEndsInOrderIsDelivered);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a part of an answer that reaches the caller as a complete one: the write of the
  // request learns of the reset, and the read sees a plain end of the connection.
  void UnsafeAnswerCutByAResetIsNotDelivered() {
    const std::string answer = Exchange(MakeRoute(RouteKind::kUnsafe), UnframedAnswer());
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 502"));
  }

  // Guards against the same for a request that another endpoint can answer.
  void SafeAnswerCutByAResetIsRepeatedElsewhere() {
    const std::string answer = Exchange(
        MakeRoute(RouteKind::kSafe), UnframedAnswer(),
        "HTTP/1.1 200 OK\r\n" + std::string(kAnswerHeaders) + "Content-Length: 4\r\n\r\ndone");
    CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("\r\n\r\ndone"));
  }

  // Guards against a stream that is cut and looks complete.
  void StreamCutByAResetEndsTruncated() {
    const std::string answer = Exchange(MakeRoute(RouteKind::kStream), UnframedAnswer());
    CPPUNIT_ASSERT_MESSAGE(answer, !answer.ends_with("0\r\n\r\n"));
  }

  // Guards against the events behind the cut that the caller never gets.
  void StreamCutByAResetIsResumed() {
    const std::string answer = Exchange(MakeRoute(RouteKind::kStream, true), UnframedAnswer(),
                                        StreamHead(90) + Chunk(StreamEvent(2)) + "0\r\n\r\n");
    CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with(Chunk(StreamEvent(2)) + "0\r\n\r\n"));
  }

  // Guards against a part of an endpoint's error answer that is delivered as the whole one.
  void ErrorAnswerCutByAResetIsNotDelivered() {
    const std::string answer = Exchange(
        MakeRoute(RouteKind::kUnsafe),
        "HTTP/1.1 400 Bad Request\r\n" + std::string(kAnswerHeaders) + "\r\npart of the text");
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 502"));
  }

  // Guards against a whole answer that is taken for broken, since its endpoint ends its direction
  // and then closes the connection without reading the rest of the request.
  void AnswerThatEndsInOrderIsDelivered() {
    for (const RouteKind kind : {RouteKind::kUnsafe, RouteKind::kSafe, RouteKind::kStream}) {
      UnreadUploadServer endpoint(Ending::kClose, UnframedAnswer());
      PlannedRouter router(MakeRoute(kind));
      router.Plan(endpoint.address());
      const std::string answer = router.Exchange(LongRequest());
      CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200"));
      CPPUNIT_ASSERT_MESSAGE(answer, Contains(answer, StreamEvent(1)));
      if (kind == RouteKind::kStream) CPPUNIT_ASSERT(answer.ends_with("0\r\n\r\n"));
    }
  }

 private:
  /// Returns what a caller gets when an endpoint sends `cut` and resets the connection.
  ///
  /// @param next Answer of the endpoint that is planned next; none when empty.
  static std::string Exchange(const Route& route, const std::string& cut,
                              const std::string& next = "") {
    UnreadUploadServer first(Ending::kReset, cut);
    PlannedRouter router(route);
    router.Plan(first.address());
    if (next.empty()) return router.Exchange(LongRequest());
    LateReadingServer second(std::chrono::milliseconds(0), "", next);
    router.Plan(second.address());
    return router.Exchange(LongRequest());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnreadUploadTest);

}  // namespace bamboodock
