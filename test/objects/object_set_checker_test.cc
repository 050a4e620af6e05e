#include "bamboodock/objects/object_set_checker.h"

#include <cppunit/extensions/HelperMacros.h>

#include "fakes/sample_object_set.h"

namespace bamboodock {

class ObjectSetCheckerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObjectSetCheckerTest);
  CPPUNIT_TEST(AcceptsTheSample);
  CPPUNIT_TEST(ReportsIdsAndKeys);
  CPPUNIT_TEST(ReportsGrantsOfMissingObjects);
  CPPUNIT_TEST(ReportsShares);
  CPPUNIT_TEST(ReportsVersionsAndCascades);
  CPPUNIT_TEST(ReportsEndpoints);
  CPPUNIT_TEST(ReturnsErrorsOfAllRules);
  CPPUNIT_TEST(WithdrawnStepDoesNotBlockAWithdrawal);
  CPPUNIT_TEST(LimitsStepsAndErrors);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a rule that rejects a correct set.
  void AcceptsTheSample() { CPPUNIT_ASSERT(CheckObjectSet(*SampleObjectSet().Build()).empty()); }

  // Guards against two objects, or two accounts with one key, that lookups cannot tell apart.
  void ReportsIdsAndKeys() {
    SampleObjectSet parts;
    ClientAccount second = parts.account;
    parts.zone.id = AvailabilityZoneId("we@st");
    parts.engine.availability_zone = parts.zone.id;
    parts.service.availability_zone = parts.zone.id;
    second.key_hashes.emplace_back("ABC");
    const auto errors = CheckObjectSet(*parts.Builder().Add(second).Build());
    Expect(errors, "account port-office", "id");
    Expect(errors, "account port-office", "key_hashes[0]");
    Expect(errors, "account port-office", "key_hashes[1]");
    Expect(errors, "availability_zone we@st", "id");
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, errors.size());
  }

  // Guards against permissions that silently grant nothing.
  void ReportsGrantsOfMissingObjects() {
    SampleObjectSet parts;
    parts.account.models[0].versions.emplace_back("summary-9");
    parts.account.models.push_back({ModelId("absent"), {}});
    parts.account.models.push_back({ModelId("summary"), {}});
    parts.account.services = {ServiceId("nowhere"), ServiceId("llm")};
    const auto errors = CheckObjectSet(*parts.Build());
    Expect(errors, "account port-office", "models[0].versions[1]");
    Expect(errors, "account port-office", "models[1].model");
    Expect(errors, "account port-office", "models[2].model");
    Expect(errors, "account port-office", "services[0]");
    Expect(errors, "account port-office", "services[1]");
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, errors.size());
  }

  // Guards against new sessions on a version that may not take them or that nothing serves.
  void ReportsShares() {
    SampleObjectSet parts;
    parts.model.shares[0].share = Ratio(0.8);
    parts.expensive.stage = VersionStage::kNoNewSessions;
    ExpectOnly(parts, {{"model summary", "shares"}, {"model summary", "shares[1].version"}});
    parts = SampleObjectSet();
    parts.engine.versions = {VersionId("summary-2")};
    ExpectOnly(parts, {{"model summary", "shares[0].version"}});
    parts = SampleObjectSet();
    parts.model.shares[1].version = VersionId("summary-3");
    ExpectOnly(parts, {{"model summary", "shares[1].version"}});
    parts = SampleObjectSet();
    parts.model.shares[1].version = VersionId("summary-1");
    ExpectOnly(parts, {{"model summary", "shares[1].version"}});
  }

  // Guards against a cascade that escalates to nothing, to itself or to a cheaper version.
  void ReportsVersionsAndCascades() {
    SampleObjectSet parts;
    parts.cheap.kinds.push_back(parts.cheap.kinds[0]);
    parts.cascade.id = CascadeId("summary");
    parts.cascade.steps = {{ModelId("summary"), VersionId("summary-2")},
                           {ModelId("summary"), VersionId("summary-1")},
                           {ModelId("summary"), VersionId("summary-2")},
                           {ModelId("absent"), VersionId("summary-1")},
                           {ModelId("summary"), VersionId("absent")}};
    ExpectOnly(parts, {{"version summary@summary-1", "kinds[1].kind"},
                       {"cascade summary", "id"},
                       {"cascade summary", "steps[1]"},
                       {"cascade summary", "steps[2]"},
                       {"cascade summary", "steps[3].model"},
                       {"cascade summary", "steps[4].version"}});
    parts = SampleObjectSet();
    parts.cascade.steps.clear();
    ExpectOnly(parts, {{"cascade summary-auto", "steps"}});
  }

  // Guards against endpoints that cannot be reached or that cannot run what is sent to them.
  void ReportsEndpoints() {
    SampleObjectSet parts;
    parts.engine.address = "localhost:80";
    parts.engine.cold_limit = Concurrency(40);
    parts.engine.availability_zone = AvailabilityZoneId("east");
    parts.engine.versions.emplace_back("absent");
    parts.service.versions = {VersionId("summary-1")};
    ExpectOnly(parts, {{"endpoint engine-1", "address"},
                       {"endpoint engine-1", "availability_zone"},
                       {"endpoint engine-1", "cold_limit"},
                       {"endpoint records-1", "versions"},
                       {"endpoint engine-1", "versions[2]"}});
    parts = SampleObjectSet();
    parts.service.address = parts.engine.address;
    ExpectOnly(parts, {{"endpoint records-1", "address"}});
    parts = SampleObjectSet();
    parts.service.kind = EndpointKind::kEngine;
    ExpectOnly(parts, {{"endpoint records-1", "versions"}, {"account port-office", "services[0]"}});
  }

  // Guards against a check that stops at the first rule that fails.
  void ReturnsErrorsOfAllRules() {
    SampleObjectSet parts;
    parts.account.key_hashes = {"short"};
    parts.model.shares.pop_back();
    parts.service.address = "7302";
    ExpectOnly(parts, {{"account port-office", "key_hashes[0]"},
                       {"model summary", "shares"},
                       {"endpoint records-1", "address"}});
  }

  // Guards against an urgent withdrawal that is rejected because a cascade still names the version.
  void WithdrawnStepDoesNotBlockAWithdrawal() {
    SampleObjectSet parts;
    parts.model.shares = {{VersionId("summary-1"), Ratio(1.0)}};
    parts.expensive.stage = VersionStage::kWithdrawn;
    CPPUNIT_ASSERT(CheckObjectSet(*parts.Build()).empty());
  }

  // Guards against a set whose errors exhaust memory: 60,000 equal steps are 1.8 billion pairs.
  void LimitsStepsAndErrors() {
    SampleObjectSet parts;
    parts.cascade.steps.assign(60000, parts.cascade.steps[0]);
    ExpectOnly(parts, {{"cascade summary-auto", "steps"}});
    parts = SampleObjectSet();
    parts.service.versions.assign(5000, VersionId("absent"));
    CPPUNIT_ASSERT_EQUAL(kMaxObjectSetErrors + 1, CheckObjectSet(*parts.Build()).size());
  }

 private:
  struct ErrorLocation {
    std::string object;
    std::string field;
  };

  static void Expect(const std::vector<ObjectSetError>& errors, const std::string& object,
                     const std::string& field) {
    for (const ObjectSetError& error : errors) {
      if (error.object == object && error.field == field) return;
    }
    CPPUNIT_FAIL("no error for " + object + " " + field);
  }

  static void ExpectOnly(const SampleObjectSet& parts,
                         const std::vector<ErrorLocation>& locations) {
    const auto errors = CheckObjectSet(*parts.Build());
    std::string listed;
    for (const ObjectSetError& error : errors) {
      listed += error.object + " " + error.field + ": " + error.message + "\n";
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(listed, locations.size(), errors.size());
    for (const ErrorLocation& location : locations) Expect(errors, location.object, location.field);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectSetCheckerTest);

}  // namespace bamboodock
