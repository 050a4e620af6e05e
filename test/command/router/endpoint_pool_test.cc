#include "bamboodock/command/router/endpoint_pool.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {
namespace {

const ServiceId kService("s1");
const IncarnationId kEntry("i1");
const MonotonicTime kNow(std::chrono::seconds(5));

EndpointRecord MakeEndpoint(const std::string& id, const std::string& version) {
  EndpointRecord record;
  record.id = EndpointId(id);
  record.service = kService;
  record.version = VersionId(version);
  return record;
}

}  // namespace

class EndpointPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointPoolTest);
  CPPUNIT_TEST(ReportReplacesPreviousReport);
  CPPUNIT_TEST(PendingWorkOfEndedEntryIsCleared);
  CPPUNIT_TEST(VersionCountsFollowRegistrations);
  CPPUNIT_TEST(DepartureIsKnownUntilTheEndpointRestarts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    pool_.Upsert(MakeEndpoint("e1", "v1"), {}, kNow);
    pool_.Upsert(MakeEndpoint("e2", "v1"), {}, kNow);
  }

  // Guards against pending work that stays counted at endpoints which are missing from the next
  // report.
  void ReportReplacesPreviousReport() {
    pool_.UpdatePending(kEntry, {{EndpointId("e1"), Tokens(600)}, {EndpointId("gone"), Tokens(1)}},
                        kNow);
    CPPUNIT_ASSERT(pool_.MeanPending(kService, kNow) == 300);
    pool_.UpdatePending(kEntry, {{EndpointId("e2"), Tokens(200)}}, kNow);
    CPPUNIT_ASSERT(pool_.MeanPending(kService, kNow) == 100);
    pool_.Remove(EndpointId("e2"));
    pool_.UpdatePending(kEntry, {}, kNow);
    CPPUNIT_ASSERT(pool_.MeanPending(kService, kNow) == 0);
  }

  // Guards against pending work of an ended entry that stays counted.
  void PendingWorkOfEndedEntryIsCleared() {
    pool_.UpdatePending(kEntry, {{EndpointId("e1"), Tokens(600)}}, kNow);
    pool_.ClearPending(kEntry);
    CPPUNIT_ASSERT(pool_.MeanPending(kService, kNow) == 0);
  }

  // Guards against cached version counts that survive a change of the endpoints.
  void VersionCountsFollowRegistrations() {
    CPPUNIT_ASSERT(pool_.VersionCounts(kService).at(VersionId("v1")) == 2);
    pool_.Upsert(MakeEndpoint("e2", "v2"), {}, kNow);
    CPPUNIT_ASSERT(pool_.VersionCounts(kService).at(VersionId("v2")) == 1);
    pool_.Remove(EndpointId("e2"));
    CPPUNIT_ASSERT(!pool_.VersionCounts(kService).contains(VersionId("v2")));
  }

  // Guards against a departure that is forgotten because the registration expires and returns, or
  // an older one is delivered again, during an outage of the store.
  void DepartureIsKnownUntilTheEndpointRestarts() {
    EndpointRecord record = MakeEndpoint("e1", "v1");
    CPPUNIT_ASSERT(pool_.OnDrainingStated(record.id, record.started, kNow));
    CPPUNIT_ASSERT(!pool_.OnDrainingStated(record.id, record.started, kNow));
    CPPUNIT_ASSERT(pool_.VersionCounts(kService).at(VersionId("v1")) == 1);
    pool_.Remove(record.id);
    pool_.Upsert(record, {}, kNow);
    CPPUNIT_ASSERT(pool_.Find(record.id)->record.draining);
    record.started = StartTime(2);
    pool_.Upsert(record, {}, kNow);
    CPPUNIT_ASSERT(!pool_.Find(record.id)->record.draining);
    record.draining = true;
    pool_.Upsert(record, {}, kNow);
    record.draining = false;
    pool_.Upsert(record, {}, kNow);
    CPPUNIT_ASSERT(pool_.Find(record.id)->record.draining);
  }

 private:
  EndpointPool pool_{HostId("h1"), AvailabilityZoneId("z1"), 1.5, 5};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointPoolTest);

}  // namespace bamboodock
