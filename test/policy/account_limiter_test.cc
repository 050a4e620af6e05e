#include "bamboodock/policy/account_limiter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {

class AccountLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AccountLimiterTest);
  CPPUNIT_TEST(BurstThenRate);
  CPPUNIT_TEST(RefusalTakesNoTokenOrSlot);
  CPPUNIT_TEST(RetryAfterSufficesForAdmission);
  CPPUNIT_TEST(ZeroRateGivesFiniteRetryAfter);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    account_.id = ClientAccountId("a");
    account_.rate = RequestRate(2.0);
    account_.burst = Concurrency(2);
    account_.concurrency = Concurrency(10);
  }

  // Guards against an account that exceeds its rate at the expense of the other accounts.
  void BurstThenRate() {
    Expect(AccountVerdict::kAdmitted);
    Expect(AccountVerdict::kAdmitted);
    Expect(AccountVerdict::kRateLimit);
    now_ += std::chrono::milliseconds(500);
    Expect(AccountVerdict::kAdmitted);
    Expect(AccountVerdict::kRateLimit);
  }

  // Guards against an account whose retries at the concurrency limit use up its tokens, so that it
  // is never admitted again.
  void RefusalTakesNoTokenOrSlot() {
    account_.concurrency = Concurrency(1);
    Expect(AccountVerdict::kAdmitted);
    for (int i = 0; i < 5; ++i) Expect(AccountVerdict::kConcurrencyLimit);
    limiter_.Release(account_.id);
    Expect(AccountVerdict::kAdmitted);
  }

  // Guards against a retry-after time that is too short for the retry to be admitted.
  void RetryAfterSufficesForAdmission() {
    CPPUNIT_ASSERT(limiter_.RetryAfter(account_, now_) == Duration::zero());
    Expect(AccountVerdict::kAdmitted);
    Expect(AccountVerdict::kAdmitted);
    const Duration wait = limiter_.RetryAfter(account_, now_);
    CPPUNIT_ASSERT(wait > Duration::zero());
    now_ += wait;
    Expect(AccountVerdict::kAdmitted);
  }

  // Guards against conversion of an infinite wait to an integer, which is undefined.
  void ZeroRateGivesFiniteRetryAfter() {
    account_.rate = RequestRate(0.0);
    Expect(AccountVerdict::kAdmitted);
    Expect(AccountVerdict::kAdmitted);
    CPPUNIT_ASSERT(limiter_.RetryAfter(account_, now_) == AccountLimiter::kMaxRetryAfter);
  }

 private:
  void Expect(AccountVerdict verdict) { CPPUNIT_ASSERT(limiter_.Admit(account_, now_) == verdict); }

  ClientAccount account_;
  AccountLimiter limiter_;
  MonotonicTime now_{std::chrono::seconds(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountLimiterTest);

}  // namespace bamboodock
