#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <set>
#include <string>

#include "bamboodock/command/router/endpoint_pool.h"
#include "policy/at.h"

namespace bamboodock {
namespace {

const ServiceId kService("s1");

EndpointRecord MakeEndpoint(const std::string& id, StartTime started = StartTime(1)) {
  EndpointRecord record;
  record.id = EndpointId(id);
  record.service = kService;
  record.slots = Concurrency(6);
  record.started = started;
  return record;
}

}  // namespace

class EndpointPoolPaceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointPoolPaceTest);
  CPPUNIT_TEST(ReportsStopAndEndpointRestarts);
  CPPUNIT_TEST(ChangedSlowdownsAreSharedFirst);
  CPPUNIT_TEST(EndpointWithoutMemoryIsAvoided);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    pool_ = std::make_unique<EndpointPool>(HostId("h1"), AvailabilityZoneId(), 1.5, 5);
    service_.id = kService;
    requirements_.service = &service_;
    requirements_.allows_version = [](const VersionId&) { return true; };
    requirements_.tried = &tried_;
    requirements_.work = Tokens(12000);
  }

  // Guards against decisions on the last report of an endpoint that is not heard of any more, and
  // on reports of an earlier lifetime.
  void ReportsStopAndEndpointRestarts() {
    AddWithReports("e1", 1.2);
    AddWithReports("e2", 2);
    Report("e1", 3, 10000);
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), Choose(10010));
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), Choose(13000));
    pool_->Upsert(MakeEndpoint("e2", StartTime(2)), {}, At(13000));
    CPPUNIT_ASSERT(!Pace("e2").known() && Pace("e2").At(At(13000)) == Slowdown(1));
    Report("e2", 4, 13000);
    CPPUNIT_ASSERT(!Pace("e2").known());
  }

  // Guards against slow hosts that each entry finds out for itself, and against values that others
  // never hear of because a report was lost.
  void ChangedSlowdownsAreSharedFirst() {
    for (int i = 0; i < 5; ++i) AddWithReports("e" + std::to_string(i), i == 3 ? 2.0 : 1.0);
    CPPUNIT_ASSERT_EQUAL(std::string("e3"), TakeOne(10000));
    std::set<std::string> told;
    for (int i = 0; i < 5; ++i) told.insert(TakeOne(10250 + i * 250));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, told.size());
    pool_->Upsert(MakeEndpoint("e9"), {}, At(10000));
    pool_->MergeSlowdowns({{EndpointId("e9"), Slowdown(2)}, {EndpointId("gone"), Slowdown(2)}},
                          At(10000));
    CPPUNIT_ASSERT(Pace("e9").mean().value() > 1.5 && !Pace("e9").has_own());
  }

  // Guards against fast endpoints that crash because long prompts beyond their memory gather there.
  void EndpointWithoutMemoryIsAvoided() {
    AddWithReports("fast", 0.6);
    AddWithReports("slow", 2);
    requirements_.memory = Tokens(12000);
    for (const char* expected : {"fast", "fast", "fast", "slow"}) {
      PooledEndpoint* endpoint = pool_->Choose(requirements_, random_, At(13000));
      CPPUNIT_ASSERT_EQUAL(std::string(expected), endpoint->record.id.value());
      pool_->OnSend(*endpoint, Tokens(0), requirements_.memory, At(13000));
    }
    AttemptReport ended;
    ended.endpoint = EndpointId("fast");
    ended.started = StartTime(1);
    ended.prompt_tokens = Tokens(12000);
    pool_->OnReport(ended, {}, true, At(13000));
    CPPUNIT_ASSERT_EQUAL(std::string("fast"), Choose(13000));
  }

 private:
  void Report(const std::string& id, double slowdown, std::int64_t ms) {
    HeadReport report;
    report.endpoint = EndpointId(id);
    report.started = StartTime(1);
    report.load = ReportedLoad{Concurrency(0), Concurrency(0), Concurrency(6), Slowdown(slowdown)};
    pool_->OnHead(report, At(ms));
  }
  void AddWithReports(const std::string& id, double slowdown) {
    pool_->Upsert(MakeEndpoint(id), {}, At(0));
    for (std::int64_t ms = 0; ms < 10000; ms += 200) Report(id, slowdown, ms);
  }
  std::string Choose(std::int64_t ms) {
    return pool_->Choose(requirements_, random_, At(ms))->record.id.value();
  }
  std::string TakeOne(std::int64_t ms) {
    return pool_->TakeSlowdowns(1, At(ms)).at(0).endpoint.value();
  }
  const EndpointPace& Pace(const std::string& id) { return pool_->Find(EndpointId(id))->pace; }

  std::unique_ptr<EndpointPool> pool_;
  RoutedService service_;
  std::vector<EndpointId> tried_;
  EndpointRequirements requirements_;
  Random random_{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointPoolPaceTest);

}  // namespace bamboodock
