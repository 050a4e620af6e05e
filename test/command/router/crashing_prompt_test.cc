#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <list>

#include "fakes/loopback_router.h"
#include "fakes/scripted_server.h"

namespace bamboodock {
namespace {

using ConnectionAction = ScriptedServer::ConnectionAction;
using Request = ScriptedServer::Request;

constexpr int kServers = 4;
constexpr int kCrashingRequests = 8;
/// The fifth crash, and three more requests that may still reach an endpoint.
constexpr int kMaxCrashes = 5 + 3;
constexpr std::chrono::milliseconds kTimeToCrash{120};

Route MakeRoute() {
  Route route;
  route.kind = RouteKind::kStream;
  route.resumable = true;
  route.max_attempts = 3;
  route.timeout = std::chrono::seconds(10);
  route.latency_objective = std::chrono::seconds(4);
  route.interval_objective = std::chrono::seconds(2);
  return route;
}

std::string Prompt(const std::string& parts) {
  return "X-Bamboodock-Prompt-Prefix: " + parts + "\r\n";
}

std::string StreamHead(const Request& request) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Bamboodock-Attempt-Id: " +
         std::string(request["X-Bamboodock-Attempt-Id"]) + "\r\nX-Bamboodock-Response-Stamp: s\r\n";
}

/// Endpoint that answers with five events, but ends shortly after the head of an answer to a prompt
/// with the part "bad".
ScriptedServer::Answer Serve(const Request& request, std::size_t) {
  const std::string prefix(request["X-Bamboodock-Prompt-Prefix"]);
  if (prefix.find("bad:") != std::string::npos) {
    std::this_thread::sleep_for(kTimeToCrash);
    return {StreamHead(request) + "Transfer-Encoding: chunked\r\n\r\n", ConnectionAction::kReset};
  }
  std::string events;
  for (int id = 1; id <= 5; ++id) events += "id: " + std::to_string(id) + "\ndata: x\n\n";
  return {StreamHead(request) + "Content-Length: " + std::to_string(events.size()) + "\r\n\r\n" +
          events};
}

}  // namespace

/// Requests with a prompt part that crashes each endpoint, beside sound ones.
class CrashingPromptTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashingPromptTest);
  CPPUNIT_TEST(RequestsWithACrashingPartAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests with one prompt part that crash one endpoint after the other, and
  // against refused requests that only share other parts with them (incident
  // crashing-prompt-part).
  void RequestsWithACrashingPartAreRefused() {
    std::list<ScriptedServer> servers;
    LoopbackRouter router(MakeRoute());
    for (int i = 0; i < kServers; ++i) servers.emplace_back(Serve);
    for (int i = 0; i < kCrashingRequests; ++i) {
      RegisterRestarted(router, servers);
      const std::string number = std::to_string(i);
      const std::string own = fmt::format("own{}:9", i);
      router.Request("c" + number, Prompt("first:9,second:9,bad:9," + own));
      RegisterRestarted(router, servers);
      const std::string sound = router.Request(
          "s" + number, Prompt(fmt::format("first:9,second:9,other{}:9,{}", i, own)));
      CPPUNIT_ASSERT_MESSAGE(sound, sound.find("id: 5") != std::string::npos);
    }
    std::int64_t crashes = 0;
    for (const ScriptedServer& server : servers) crashes += CountCrashes(server);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(crashes) + "\n" + router.log().Text(),
                           crashes <= kMaxCrashes);
  }

 private:
  /// Registers each server with a start time that differs after each crash.
  static void RegisterRestarted(LoopbackRouter& router, const std::list<ScriptedServer>& servers) {
    int number = 0;
    for (const ScriptedServer& server : servers) {
      const StartTime started(1 + CountCrashes(server));
      router.Register("e" + std::to_string(number++), server.address(), started);
    }
  }
  static std::int64_t CountCrashes(const ScriptedServer& server) {
    const auto requests = server.requests();
    return std::count_if(requests.begin(), requests.end(), [](const Request& request) {
      return std::string(request["X-Bamboodock-Prompt-Prefix"]).find("bad:") != std::string::npos;
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingPromptTest);

}  // namespace bamboodock
