#include "bamboodock/policy/account_limiter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {

class AccountLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AccountLimiterTest);
  CPPUNIT_TEST(BurstThenRate);
  CPPUNIT_TEST(RefusalTakesNothing);
  CPPUNIT_TEST(RetryAfterIsEnough);
  CPPUNIT_TEST(ZeroRateGivesFiniteWait);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    account_.id = ClientAccountId("a");
    account_.rate = RequestRate(2.0);
    account_.burst = Concurrency(2);
    account_.concurrency = Concurrency(10);
  }

  // Guards against one account taking the share of the others.
  void BurstThenRate() {
    Expect(AccountVerdict::kAdmitted);
    Expect(AccountVerdict::kAdmitted);
    Expect(AccountVerdict::kRateLimit);
    now_ += std::chrono::milliseconds(500);
    Expect(AccountVerdict::kAdmitted);
    Expect(AccountVerdict::kRateLimit);
  }

  // Guards against an account that, by retrying while at its limit, never gets in again.
  void RefusalTakesNothing() {
    account_.concurrency = Concurrency(1);
    Expect(AccountVerdict::kAdmitted);
    for (int i = 0; i < 5; ++i) Expect(AccountVerdict::kConcurrencyLimit);
    limiter_.Release(account_.id);
    Expect(AccountVerdict::kAdmitted);
  }

  // Guards against a Retry-After that leads to the next refusal.
  void RetryAfterIsEnough() {
    CPPUNIT_ASSERT(limiter_.RetryAfter(account_, now_) == Duration::zero());
    Expect(AccountVerdict::kAdmitted);
    Expect(AccountVerdict::kAdmitted);
    const Duration wait = limiter_.RetryAfter(account_, now_);
    CPPUNIT_ASSERT(wait > Duration::zero());
    now_ += wait;
    Expect(AccountVerdict::kAdmitted);
  }

  // Guards against an infinite wait converted to an integer.
  void ZeroRateGivesFiniteWait() {
    account_.rate = RequestRate(0.0);
    Expect(AccountVerdict::kAdmitted);
    Expect(AccountVerdict::kAdmitted);
    CPPUNIT_ASSERT(limiter_.RetryAfter(account_, now_) == AccountLimiter::kLongestWait);
  }

 private:
  void Expect(AccountVerdict verdict) { CPPUNIT_ASSERT(limiter_.Admit(account_, now_) == verdict); }

  ClientAccount account_;
  AccountLimiter limiter_;
  MonotonicTime now_{std::chrono::seconds(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountLimiterTest);

}  // namespace bamboodock
