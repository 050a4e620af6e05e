#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

#include "process/support/deployment.h"

namespace bamboodock::process_test {
namespace {

constexpr const char* kBilling = "billing/";
constexpr const char* kCostHeader = "X-Bamboodock-Cost-Micros";

/// Sends chats one after another; returns the sum of the costs reported in their responses.
std::uint64_t SendChats(const Deployment& deployment, std::size_t entry, int count) {
  std::uint64_t cost = 0;
  for (int i = 0; i < count; ++i) {
    const Reply reply = deployment.Chat(entry, kModel, "dossier " + std::to_string(i));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 200, reply.status);
    cost += std::stoull(reply.Header(kCostHeader));
  }
  return cost;
}

std::uint64_t BilledCost(const Deployment& deployment) {
  std::uint64_t cost = 0;
  for (const nlohmann::json& row : deployment.Rows(kBilling)) {
    cost += row.at("cost").get<std::uint64_t>();
  }
  return cost;
}

/// Waits until the entry's ledger holds no records; false on a timeout.
bool AwaitEmptyLedger(const Deployment& deployment, std::size_t entry) {
  return WaitFor([&] {
    const Reply reply = Get(deployment.caller_address(entry), "/metrics");
    return reply.body.find("bamboodock_ledger_held 0\n") != std::string::npos;
  });
}

}  // namespace

class BillingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BillingTest);
  CPPUNIT_TEST(EntryKilledBeforeItWritesTheRecords);
  CPPUNIT_TEST(LostAnswersAndOutage);
  CPPUNIT_TEST(CascadeStepsGiveOneRow);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against answered requests that are never billed because their entry was killed.
  void EntryKilledBeforeItWritesTheRecords() {
    Deployment deployment(
        DeploymentPlan("EntryKilledBeforeItWritesTheRecords", 20400).Engine("engine-1", "west"));
    // The outage keeps the entry from writing the records before it is killed.
    deployment.SetTableFault("down");
    const std::uint64_t cost = SendChats(deployment, 0, 5);
    deployment.entry(0).Kill();
    deployment.SetTableFault("none");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, deployment.Rows(kBilling).size());
    WaitFor([&] { return deployment.Rows(kBilling).size() >= 5; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, deployment.Rows(kBilling).size());
    CPPUNIT_ASSERT_EQUAL(cost, BilledCost(deployment));
  }

  // Guards against records that are dropped or counted twice when the answer to a write is lost, or
  // when the store is down for several retries.
  void LostAnswersAndOutage() {
    Deployment deployment(DeploymentPlan("LostAnswersAndOutage", 20500).Engine("engine-1", "west"));
    deployment.SetTableFault("lose_answer", 3);
    std::uint64_t cost = SendChats(deployment, 0, 4);
    CPPUNIT_ASSERT(AwaitEmptyLedger(deployment, 0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, deployment.Rows(kBilling).size());

    deployment.SetTableFault("down");
    cost += SendChats(deployment, 1, 6);
    // Exceeds several retry intervals of the entry and the sidecar's settle timeout, so that both
    // holders of the records try to write.
    std::this_thread::sleep_for(std::chrono::seconds(12));
    deployment.SetTableFault("none");
    CPPUNIT_ASSERT(AwaitEmptyLedger(deployment, 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, deployment.Rows(kBilling).size());
    CPPUNIT_ASSERT_EQUAL(cost, BilledCost(deployment));
    // Exit code 0 shows that the sidecar has settled its copies too.
    deployment.sidecar("engine-1").Terminate();
    CPPUNIT_ASSERT_EQUAL(0, deployment.sidecar("engine-1").Wait(kWaitTimeout).value_or(-1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, deployment.Rows(kBilling).size());
    CPPUNIT_ASSERT_EQUAL(cost, BilledCost(deployment));
  }

  // Guards against one billing row per cascade step, and against steps missing from the cost.
  void CascadeStepsGiveOneRow() {
    Deployment deployment(DeploymentPlan("CascadeStepsGiveOneRow", 20600)
                              .SmallQuality(Ratio(0.0))
                              .Engine("engine-1", "west"));
    const Reply reply = deployment.Chat(0, kCascade, "dossier", Tokens(50));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 200, reply.status);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, deployment.Counter("engine-1", "started"));
    CPPUNIT_ASSERT(AwaitEmptyLedger(deployment, 0));
    const std::vector<nlohmann::json> rows = deployment.Rows(kBilling);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rows.size());
    CPPUNIT_ASSERT_EQUAL(std::string(kLarge), rows[0].at("version").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, rows[0].at("completion").get<std::uint64_t>());
    CPPUNIT_ASSERT_EQUAL(std::stoull(reply.Header(kCostHeader)),
                         rows[0].at("cost").get<unsigned long long>());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BillingTest);

}  // namespace bamboodock::process_test
