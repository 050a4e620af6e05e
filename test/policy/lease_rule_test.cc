#include "bamboodock/policy/lease_rule.h"

#include <cppunit/extensions/HelperMacros.h>

#include "policy/at.h"

namespace bamboodock {

namespace {

const IncarnationId kSelf("sc-1/1");
const IncarnationId kOther("sc-1/2");
constexpr std::chrono::seconds kDuration(10);
constexpr std::chrono::seconds kMargin(1);

LeaseVerdict JudgeAfterPause(Duration duration) {
  LeaseRule rule(kSelf, duration, kMargin);
  rule.OnAcquired(FencingToken(1), At(0));
  return rule.Judge(At(12000), Epoch(4), Epoch(4));
}

}  // namespace

class LeaseRuleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseRuleTest);
  CPPUNIT_TEST(PausedHolderSendsNoOrder);
  CPPUNIT_TEST(LeaseWithoutExpiryLetsPausedHolderSend);
  CPPUNIT_TEST(HigherNumberSupersedes);
  CPPUNIT_TEST(StaleOrderIsNotSent);
  CPPUNIT_TEST(SuccessorWaitsForRenewedLease);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an order from a holder that was paused while another took over.
  void PausedHolderSendsNoOrder() {
    CPPUNIT_ASSERT(JudgeAfterPause(kDuration) == LeaseVerdict::kExpired);
  }

  // Shows that PausedHolderSendsNoOrder does not hold when a lease does not expire.
  void LeaseWithoutExpiryLetsPausedHolderSend() {
    CPPUNIT_ASSERT(JudgeAfterPause(std::chrono::hours(1000)) == LeaseVerdict::kAllowed);
  }

  // Guards against two holders that send orders to one engine, also while the lease of the earlier
  // holder has not expired on its own clock.
  void HigherNumberSupersedes() {
    LeaseRule rule(kSelf, kDuration, kMargin);
    CPPUNIT_ASSERT(rule.Judge(At(0), Epoch(4), Epoch(4)) == LeaseVerdict::kNoLease);
    rule.OnAcquired(FencingToken(1), At(0));
    CPPUNIT_ASSERT(rule.Judge(At(1), Epoch(4), Epoch(4)) == LeaseVerdict::kAllowed);
    rule.OnFencingSeen(FencingToken(2));
    CPPUNIT_ASSERT(rule.Judge(At(1), Epoch(4), Epoch(4)) == LeaseVerdict::kSuperseded);
    CPPUNIT_ASSERT(!rule.MayTakeOver(At(100000)));
    rule.OnAcquired(FencingToken(1), At(2));
    CPPUNIT_ASSERT(rule.Judge(At(3), Epoch(4), Epoch(4)) == LeaseVerdict::kSuperseded);
  }

  // Guards against loading a version that a newer configuration has withdrawn.
  void StaleOrderIsNotSent() {
    LeaseRule rule(kSelf, kDuration, kMargin);
    rule.OnAcquired(FencingToken(1), At(0));
    CPPUNIT_ASSERT(rule.Judge(At(1), Epoch(4), Epoch(5)) == LeaseVerdict::kStaleEpoch);
  }

  // Guards against a take-over from a holder that renews its lease.
  void SuccessorWaitsForRenewedLease() {
    LeaseRule rule(kOther, kDuration, kMargin);
    CPPUNIT_ASSERT(rule.MayTakeOver(At(0)));
    rule.OnRow({kSelf, FencingToken(1)}, false, At(0));
    rule.OnRow({kSelf, FencingToken(1)}, true, At(9000));
    rule.OnRow({kSelf, FencingToken(1)}, false, At(15000));
    CPPUNIT_ASSERT(!rule.MayTakeOver(At(19999)));
    CPPUNIT_ASSERT(rule.MayTakeOver(At(20000)));
    CPPUNIT_ASSERT_EQUAL(FencingToken(2), rule.NextFencing());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseRuleTest);

}  // namespace bamboodock
