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
    SampleObjectSet sample;
    ClientAccount second = sample.account;
    sample.zone.id = AvailabilityZoneId("we@st");
    sample.engine.availability_zone = sample.zone.id;
    sample.service.availability_zone = sample.zone.id;
    second.key_hashes.emplace_back("ABC");
    const auto errors = CheckObjectSet(*sample.Builder().Add(second).Build());
    Expect(errors, "account port-office", "id");
    Expect(errors, "account port-office", "key_hashes[0]");
    Expect(errors, "account port-office", "key_hashes[1]");
    Expect(errors, "availability_zone we@st", "id");
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, errors.size());
  }

  // Guards against permissions that silently grant nothing.
  void ReportsGrantsOfMissingObjects() {
    SampleObjectSet sample;
    sample.account.models[0].versions.emplace_back("summary-9");
    sample.account.models.push_back({ModelId("absent"), {}});
    sample.account.models.push_back({ModelId("summary"), {}});
    sample.account.services = {ServiceId("nowhere"), ServiceId("llm")};
    const auto errors = CheckObjectSet(*sample.Build());
    Expect(errors, "account port-office", "models[0].versions[1]");
    Expect(errors, "account port-office", "models[1].model");
    Expect(errors, "account port-office", "models[2].model");
    Expect(errors, "account port-office", "services[0]");
    Expect(errors, "account port-office", "services[1]");
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, errors.size());
  }

  // Guards against new sessions on a version that may not take them or that nothing serves.
  void ReportsShares() {
    SampleObjectSet sample;
    sample.model.shares[0].share = Ratio(0.8);
    sample.expensive.stage = VersionStage::kNoNewSessions;
    ExpectOnly(sample, {{"model summary", "shares"}, {"model summary", "shares[1].version"}});
    sample = SampleObjectSet();
    sample.engine.versions = {VersionId("summary-2")};
    ExpectOnly(sample, {{"model summary", "shares[0].version"}});
    sample = SampleObjectSet();
    sample.model.shares[1].version = VersionId("summary-3");
    ExpectOnly(sample, {{"model summary", "shares[1].version"}});
    sample = SampleObjectSet();
    sample.model.shares[1].version = VersionId("summary-1");
    ExpectOnly(sample, {{"model summary", "shares[1].version"}});
  }

  // Guards against a cascade that escalates to nothing, to itself or to a cheaper version.
  void ReportsVersionsAndCascades() {
    SampleObjectSet sample;
    sample.cheap.kinds.push_back(sample.cheap.kinds[0]);
    sample.cascade.id = CascadeId("summary");
    sample.cascade.steps = {{ModelId("summary"), VersionId("summary-2")},
                            {ModelId("summary"), VersionId("summary-1")},
                            {ModelId("summary"), VersionId("summary-2")},
                            {ModelId("absent"), VersionId("summary-1")},
                            {ModelId("summary"), VersionId("absent")}};
    ExpectOnly(sample, {{"version summary@summary-1", "kinds[1].kind"},
                        {"cascade summary", "id"},
                        {"cascade summary", "steps[1]"},
                        {"cascade summary", "steps[2]"},
                        {"cascade summary", "steps[3].model"},
                        {"cascade summary", "steps[4].version"}});
    sample = SampleObjectSet();
    sample.cascade.steps.clear();
    ExpectOnly(sample, {{"cascade summary-auto", "steps"}});
  }

  // Guards against endpoints that cannot be reached or that cannot run what is sent to them.
  void ReportsEndpoints() {
    SampleObjectSet sample;
    sample.engine.address = "localhost:80";
    sample.engine.cold_limit = Concurrency(40);
    sample.engine.availability_zone = AvailabilityZoneId("east");
    sample.engine.versions.emplace_back("absent");
    sample.service.versions = {VersionId("summary-1")};
    ExpectOnly(sample, {{"endpoint engine-1", "address"},
                        {"endpoint engine-1", "availability_zone"},
                        {"endpoint engine-1", "cold_limit"},
                        {"endpoint records-1", "versions"},
                        {"endpoint engine-1", "versions[2]"}});
    sample = SampleObjectSet();
    sample.service.address = sample.engine.address;
    ExpectOnly(sample, {{"endpoint records-1", "address"}});
    sample = SampleObjectSet();
    sample.service.kind = EndpointKind::kEngine;
    ExpectOnly(sample,
               {{"endpoint records-1", "versions"}, {"account port-office", "services[0]"}});
  }

  // Guards against a check that stops at the first rule that fails.
  void ReturnsErrorsOfAllRules() {
    SampleObjectSet sample;
    sample.account.key_hashes = {"short"};
    sample.model.shares.pop_back();
    sample.service.address = "7302";
    ExpectOnly(sample, {{"account port-office", "key_hashes[0]"},
                        {"model summary", "shares"},
                        {"endpoint records-1", "address"}});
  }

  // Guards against an urgent withdrawal that is rejected because a cascade still names the version.
  void WithdrawnStepDoesNotBlockAWithdrawal() {
    SampleObjectSet sample;
    sample.model.shares = {{VersionId("summary-1"), Ratio(1.0)}};
    sample.expensive.stage = VersionStage::kWithdrawn;
    CPPUNIT_ASSERT(CheckObjectSet(*sample.Build()).empty());
  }

  // Guards against a set whose errors exhaust memory: 60,000 equal steps are 1.8 billion pairs.
  void LimitsStepsAndErrors() {
    SampleObjectSet sample;
    sample.cascade.steps.assign(60000, sample.cascade.steps[0]);
    ExpectOnly(sample, {{"cascade summary-auto", "steps"}});
    sample = SampleObjectSet();
    sample.service.versions.assign(5000, VersionId("absent"));
    CPPUNIT_ASSERT_EQUAL(kMaxObjectSetErrors + 1, CheckObjectSet(*sample.Build()).size());
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

  static void ExpectOnly(const SampleObjectSet& sample,
                         const std::vector<ErrorLocation>& locations) {
    const auto errors = CheckObjectSet(*sample.Build());
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
