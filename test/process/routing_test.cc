#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

#include "process/support/deployment.h"

namespace bamboodock::process_test {

class RoutingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutingTest);
  CPPUNIT_TEST(ColdEngineGetsNoMoreThanItsLimit);
  CPPUNIT_TEST(SessionKeepsItsVersion);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against entries that each send a cold engine as many streams as its limit, and against a
  // limit that grows while the engine is cold.
  void ColdEngineGetsNoMoreThanItsLimit() {
    constexpr std::uint32_t kColdLimit = 3;
    Deployment deployment(DeploymentPlan("ColdEngineGetsNoMoreThanItsLimit", 21600)
                              .Entries(3)
                              .Engine("engine-1", "west",
                                      {"--warmup_requests=40", "--cold_limit=3",
                                       "--first_token_ms=60", "--token_ms=5"})
                              .Limits(Concurrency(kColdLimit), Concurrency(32)));
    std::atomic<int> answered = 0;
    std::vector<std::thread> callers;
    callers.reserve(18);
    for (int caller = 0; caller < 18; ++caller) {
      callers.emplace_back([&, caller] {
        for (int i = 0; i < 15; ++i) {
          const Reply reply =
              deployment.Chat(caller % 3, kModel, std::to_string(caller) + "-" + std::to_string(i));
          if (reply.status == 200) ++answered;
          // Callers keep retrying while the engine is cold.
          if (reply.status != 200) std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
      });
    }
    for (std::thread& caller : callers) caller.join();
    CPPUNIT_ASSERT(answered > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, deployment.Counter("engine-1", "cold_overloads"));
    const std::uint64_t max_running_cold = deployment.Counter("engine-1", "max_running_cold");
    CPPUNIT_ASSERT_MESSAGE(std::to_string(max_running_cold),
                           max_running_cold > 0 && max_running_cold <= kColdLimit);
  }

  // Guards against moving a session to another version, silently or after a withdrawal.
  void SessionKeepsItsVersion() {
    Deployment deployment(DeploymentPlan("SessionKeepsItsVersion", 21700)
                              .LargeShare(Ratio(0.5))
                              .Engine("engine-1", "west")
                              .Engine("engine-2", "east"));
    const Reply first = deployment.Chat(0, kModel, "first");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(first.body, 200, first.status);
    const std::string version = first.Header("X-Bamboodock-Version");
    const HttpHeader session{"X-Bamboodock-Session", first.Header("X-Bamboodock-Session")};
    for (std::size_t i = 0; i < 20; ++i) {
      const Reply next =
          deployment.Chat(i % 2, kModel, "next " + std::to_string(i), Tokens(4), {session});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(next.body, 200, next.status);
      CPPUNIT_ASSERT_EQUAL(version, next.Header("X-Bamboodock-Version"));
    }
    const std::string id = version.substr(version.find('@') + 1);
    const Reply withdrawal = deployment.Withdraw(0, "p-2", id.c_str());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(withdrawal.body, 200, withdrawal.status);
    for (std::size_t i = 0; i < deployment.entries(); ++i) CPPUNIT_ASSERT(deployment.AwaitReady(i));
    const auto started = [&] {
      return deployment.Counter("engine-1", "started") + deployment.Counter("engine-2", "started");
    };
    const std::uint64_t before = started();
    for (std::size_t i = 0; i < deployment.entries(); ++i) {
      const Reply refused = deployment.Chat(i, kModel, "late", Tokens(4), {session});
      CPPUNIT_ASSERT_EQUAL(std::string("version_withdrawn"), refused.ErrorType());
      CPPUNIT_ASSERT_EQUAL(std::string("not_run"), refused.Header("X-Bamboodock-Run"));
    }
    CPPUNIT_ASSERT_EQUAL(before, started());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);

}  // namespace bamboodock::process_test
