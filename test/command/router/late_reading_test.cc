#include <cppunit/extensions/HelperMacros.h>

#include "fakes/late_reading_server.h"
#include "fakes/planned_router.h"

namespace bamboodock {
namespace {

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

 private:
  static constexpr std::chrono::milliseconds kLongerThanConnect{1000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateReadingTest);

}  // namespace bamboodock
