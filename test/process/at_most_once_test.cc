#include <cppunit/extensions/HelperMacros.h>

#include "process/support/deployment.h"

namespace bamboodock::process_test {
namespace {

DeploymentPlan Services(const char* name, std::uint16_t base_port) {
  return DeploymentPlan(name, base_port)
      .Service("service-1", "west", {"--call_ms=1500"})
      .Service("service-2", "east", {"--call_ms=1500"});
}

bool IsStored(const Reply& reply) {
  return reply.status == 200 && reply.Header("Idempotency-Replayed") == "true";
}

/// Waits for the endpoint that runs the only open call; returns an empty name on a timeout.
std::string AwaitRunning(const Deployment& deployment) {
  std::string running;
  WaitFor([&] {
    for (const char* name : {"service-1", "service-2"}) {
      if (deployment.Running(name) > 0) running = name;
    }
    return !running.empty();
  });
  return running;
}

}  // namespace

class AtMostOnceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AtMostOnceTest);
  CPPUNIT_TEST(EntryKilledWhileTheCallRuns);
  CPPUNIT_TEST(SidecarKilledWhileTheCallRuns);
  CPPUNIT_TEST(StoreDownRefusesNotRun);
  CPPUNIT_TEST(ClaimAnswerLost);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a second label when the entry is killed during the call and the caller repeats
  // its key at another entry.
  void EntryKilledWhileTheCallRuns() {
    Deployment deployment(Services("EntryKilledWhileTheCallRuns", 20000));
    OpenRequest first(deployment.caller_address(0), deployment.IssueRequest("k"));
    CPPUNIT_ASSERT(!AwaitRunning(deployment).empty());
    deployment.entry(0).Kill();
    CPPUNIT_ASSERT(first.reply().status != 200);

    // Repeats are answered with "unknown" until the call ends, then with the stored answer.
    const bool stored = WaitFor([&] {
      const Reply reply = deployment.Issue(1, "k");
      if (IsStored(reply)) return true;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, std::string("unknown"),
                                   reply.Header("X-Bamboodock-Run"));
      return false;
    });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, deployment.Runs("k"));
    CPPUNIT_ASSERT(stored);
  }

  // Guards against reporting "not run" for a call that the service is still running, and against a
  // second run by the sidecar's next incarnation.
  void SidecarKilledWhileTheCallRuns() {
    Deployment deployment(Services("SidecarKilledWhileTheCallRuns", 20100));
    OpenRequest first(deployment.caller_address(0), deployment.IssueRequest("k"));
    const std::string running = AwaitRunning(deployment);
    CPPUNIT_ASSERT(!running.empty());
    deployment.sidecar(running).Kill();
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), first.reply().Header("X-Bamboodock-Run"));
    deployment.StartSidecar(running);
    CPPUNIT_ASSERT(WaitFor([&] { return deployment.Runs("k") > 0; }));
    for (std::size_t i = 0; i < deployment.entries(); ++i) {
      CPPUNIT_ASSERT(deployment.AwaitReady(i));
      const Reply reply = deployment.Issue(i, "k");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, std::string("unknown"),
                                   reply.Header("X-Bamboodock-Run"));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, deployment.Runs("k"));
  }

  // Guards against a call that starts without a durable claim.
  void StoreDownRefusesNotRun() {
    Deployment deployment(Services("StoreDownRefusesNotRun", 20200));
    deployment.SetTableFault("down");
    for (std::size_t i = 0; i < deployment.entries(); ++i) {
      const Reply reply = deployment.Issue(i, "k");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 503, reply.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, std::string("not_run"),
                                   reply.Header("X-Bamboodock-Run"));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, deployment.Runs("k"));

    deployment.SetTableFault("none");
    CPPUNIT_ASSERT(WaitFor([&] { return deployment.Issue(0, "k").status == 200; }));
    CPPUNIT_ASSERT(IsStored(deployment.Issue(1, "k")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, deployment.Runs("k"));
  }

  // Guards against taking the entry's own claim for that of another, and against writing it twice,
  // when the write is applied but the store's answer is lost.
  void ClaimAnswerLost() {
    Deployment deployment(Services("ClaimAnswerLost", 20300));
    deployment.SetTableFault("lose_answer", 1);
    const Reply reply = deployment.Issue(0, "k");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 200, reply.status);
    CPPUNIT_ASSERT(WaitFor([&] { return IsStored(deployment.Issue(1, "k")); }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, deployment.Runs("k"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, deployment.Rows("claims/").size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);

}  // namespace bamboodock::process_test
