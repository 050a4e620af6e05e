#include "bamboodock/policy/freshness_rule.h"

#include <cppunit/extensions/HelperMacros.h>

#include "policy/at.h"

namespace bamboodock {

namespace {

constexpr std::chrono::seconds kLimit(5);
const std::vector<HostId> kWitnesses = {HostId("w1"), HostId("w2"), HostId("w3")};
const PublicationId kPending("p5");

FreshnessRule Installed(Duration limit = kLimit) {
  FreshnessRule rule(limit, kWitnesses);
  rule.Install(Epoch(4));
  return rule;
}

}  // namespace

class FreshnessRuleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FreshnessRuleTest);
  CPPUNIT_TEST(StopsWhenPartitioned);
  CPPUNIT_TEST(WithoutLimitAdmitsUnderReplacedSet);
  CPPUNIT_TEST(MajorityMustBeRecent);
  CPPUNIT_TEST(PendingSetMustBeHeld);
  CPPUNIT_TEST(UnreportedPendingSetCountsAsFresh);
  CPPUNIT_TEST(InstallsNewerEpochFirst);
  CPPUNIT_TEST(EpochNeverGoesBack);
  CPPUNIT_TEST(AgeIsThatOfBestEvidence);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a partitioned process that keeps admitting work under a replaced configuration.
  void StopsWhenPartitioned() {
    FreshnessRule rule = Installed();
    CPPUNIT_ASSERT(rule.Judge(At(0)) == FreshnessVerdict::kNotFresh);
    rule.Confirm(Epoch(4), At(0));
    CPPUNIT_ASSERT(rule.Judge(At(4999)) == FreshnessVerdict::kFresh);
    CPPUNIT_ASSERT(rule.Judge(At(5000)) == FreshnessVerdict::kNotFresh);
  }

  // Shows that StopsWhenPartitioned does not hold without the limit.
  void WithoutLimitAdmitsUnderReplacedSet() {
    FreshnessRule rule = Installed(std::chrono::hours(1000));
    rule.Confirm(Epoch(4), At(0));
    CPPUNIT_ASSERT(rule.Judge(At(3600000)) == FreshnessVerdict::kFresh);
  }

  // Guards against counting a witness twice, a host that is no witness, or an expired attestation.
  void MajorityMustBeRecent() {
    FreshnessRule rule = Installed();
    rule.Attest(HostId("w1"), Epoch(4), At(9000));
    rule.Attest(HostId("w1"), Epoch(4), At(9500));
    rule.Attest(HostId("w9"), Epoch(4), At(9500));
    rule.Attest(HostId("w2"), Epoch(3), At(9500));
    CPPUNIT_ASSERT(rule.Judge(At(10000)) == FreshnessVerdict::kNotFresh);
    rule.Attest(HostId("w3"), Epoch(4), At(6000));
    CPPUNIT_ASSERT(rule.Judge(At(10000)) == FreshnessVerdict::kFreshByWitnesses);
    CPPUNIT_ASSERT(rule.Judge(At(11000)) == FreshnessVerdict::kNotFresh);
  }

  // Guards against admission under the old set alone after a publisher died between prepare and
  // commit.
  void PendingSetMustBeHeld() {
    FreshnessRule rule = Installed();
    rule.Confirm(Epoch(4), At(100), {kPending});
    rule.Attest(HostId("w1"), Epoch(4), At(100), {kPending});
    rule.Attest(HostId("w2"), Epoch(4), At(100));
    CPPUNIT_ASSERT(rule.Judge(At(200)) == FreshnessVerdict::kNotFresh);
    rule.Hold(kPending);
    rule.Attest(HostId("w1"), Epoch(4), At(150), {kPending});
    CPPUNIT_ASSERT(rule.Judge(At(200)) == FreshnessVerdict::kFreshByWitnesses);
  }

  // Shows that PendingSetMustBeHeld does not hold when witnesses do not report pending
  // publications.
  void UnreportedPendingSetCountsAsFresh() {
    FreshnessRule rule = Installed();
    rule.Attest(HostId("w1"), Epoch(4), At(100));
    rule.Attest(HostId("w2"), Epoch(4), At(100));
    CPPUNIT_ASSERT(rule.Judge(At(200)) == FreshnessVerdict::kFreshByWitnesses);
  }

  // Guards against admission under a set that is known to have been replaced.
  void InstallsNewerEpochFirst() {
    FreshnessRule rule = Installed();
    rule.Confirm(Epoch(4), At(100));
    rule.Confirm(Epoch(5), At(150));
    CPPUNIT_ASSERT(rule.Judge(At(200)) == FreshnessVerdict::kBehind);
    rule.Install(Epoch(5));
    CPPUNIT_ASSERT(rule.Judge(At(200)) == FreshnessVerdict::kFresh);
  }

  // Guards against a delayed answer that reinstates an older configuration.
  void EpochNeverGoesBack() {
    FreshnessRule rule = Installed();
    rule.Install(Epoch(3));
    CPPUNIT_ASSERT_EQUAL(Epoch(4), rule.epoch());
    rule.Confirm(Epoch(4), At(100));
    rule.Confirm(Epoch(3), At(9000));
    CPPUNIT_ASSERT(rule.Judge(At(9100)) == FreshnessVerdict::kNotFresh);
  }

  // Guards against reporting peers an age that is lower than that of the evidence.
  void AgeIsThatOfBestEvidence() {
    FreshnessRule rule = Installed();
    CPPUNIT_ASSERT(rule.Age(At(0)) == Duration::max());
    rule.Confirm(Epoch(4), At(100));
    rule.Attest(HostId("w1"), Epoch(4), At(300));
    rule.Attest(HostId("w2"), Epoch(4), At(200));
    CPPUNIT_ASSERT(rule.Age(At(1000)) == std::chrono::milliseconds(800));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FreshnessRuleTest);

}  // namespace bamboodock
