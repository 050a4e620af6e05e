#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "process/support/caller_crowd.h"
#include "process/support/host_check.h"
#include "process/support/single_router.h"

namespace bamboodock::process_test {
namespace {

using ConnectionAction = ScriptedServer::ConnectionAction;
using Answer = ScriptedServer::Answer;

constexpr std::size_t kEndpoints = 8;
constexpr std::size_t kCallers = 96;
constexpr std::size_t kPieceSize = 65536;

std::string FloodAttempt(std::size_t caller) { return "flood-" + std::to_string(caller); }

/// Head of a success, without the blank line at its end.
std::string SuccessHead(const ScriptedServer::Request& request) {
  const std::string attempt(request["X-Bamboodock-Attempt-Id"]);
  return "HTTP/1.1 200 OK\r\nX-Bamboodock-Attempt-Id: " + attempt +
         "\r\nX-Bamboodock-Response-Stamp: s\r\n";
}

/// Script of endpoints that send `begin` and then `part` without end to the crowd, and answer other
/// requests.
///
/// @param has_head Whether `begin` follows the head of a success.
ScriptedServer::Script Endless(const std::string& begin, const std::string& part, bool has_head) {
  return [=](const ScriptedServer::Request& request, std::size_t) {
    if (!request["X-Bamboodock-Attempt-Id"].starts_with("flood-")) {
      return SingleRouter::AnswerRequest(request);
    }
    const std::string head = has_head ? SuccessHead(request) : "";
    return Answer{head + begin, ConnectionAction::kSendEndlessly, part};
  };
}

}  // namespace

/// Endpoints that send bytes without end, many at a time. The router must live on within the memory
/// and the descriptors of its host and answer an ordinary request.
class AnswerFloodTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswerFloodTest);
  CPPUNIT_TEST(EndlessHeads);
  CPPUNIT_TEST(EndlessStatusLines);
  CPPUNIT_TEST(EndlessInterimHeads);
  CPPUNIT_TEST(EndlessBodies);
  CPPUNIT_TEST(EndlessChunkExtensions);
  CPPUNIT_TEST(EndlessTrailers);
  CPPUNIT_TEST(BodiesThatStopShort);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Each test guards against memory that grows with what endpoints send.
  void EndlessHeads() {
    Flood("flood-answer-heads", Endless("X-Bad: ", std::string(kPieceSize, 'x'), true));
  }
  void EndlessStatusLines() {
    Flood("flood-answer-status", Endless("HTTP/1.1 200 ", std::string(kPieceSize, 'x'), false));
  }
  void EndlessInterimHeads() {
    Flood("flood-answer-interim", Endless("", "HTTP/1.1 100 Continue\r\n\r\n", false));
  }
  void EndlessBodies() {
    Flood("flood-answer-bodies", Endless("\r\n", std::string(kPieceSize, 'x'), true));
  }
  void EndlessChunkExtensions() {
    Flood("flood-answer-extensions",
          Endless("Transfer-Encoding: chunked\r\n\r\n1;", std::string(kPieceSize, 'x'), true));
  }
  void EndlessTrailers() {
    Flood("flood-answer-trailers", Endless("Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
                                           "X-Trailer: " + std::string(1000, 't') + "\r\n", true));
  }
  void BodiesThatStopShort() {
    constexpr std::size_t kLength = 4U << 20U;
    Flood("flood-answer-short", [](const ScriptedServer::Request& request, std::size_t) {
      if (!request["X-Bamboodock-Attempt-Id"].starts_with("flood-")) {
        return SingleRouter::AnswerRequest(request);
      }
      const std::string length = "Content-Length: " + std::to_string(kLength) + "\r\n\r\n";
      return Answer{SuccessHead(request) + length + std::string(kLength - 16, 'x'),
                    ConnectionAction::kWaitForPeer};
    });
  }

 private:
  static void Flood(const std::string& name, const ScriptedServer::Script& script) {
    const SmallHost host;
    SingleRouter router(name, host, script, kEndpoints);
    CallerCrowd crowd(router.callers(), kCallers);
    for (std::size_t caller = 0; caller < kCallers; ++caller) {
      crowd.Send(caller,
                 SingleRouter::RequestHead(FloodAttempt(caller)) + "Content-Length: 4\r\n\r\nbody");
    }
    AwaitSteadyMemory(router);
    const bool answered = WaitFor([&] { return router.Request("after") == 200; });
    CheckHost(router, host);
    CPPUNIT_ASSERT_MESSAGE("no ordinary request is answered", answered);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerFloodTest);

}  // namespace bamboodock::process_test
