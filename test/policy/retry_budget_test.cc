#include "bamboodock/policy/retry_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "bamboodock/policy/backoff.h"

namespace bamboodock {

class RetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(RetriesStayWithinShare);
  CPPUNIT_TEST(BudgetIsCappedAtReserve);
  CPPUNIT_TEST(BackoffStaysWithinBounds);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against retries that multiply the load of a failing service.
  void RetriesStayWithinShare() {
    RetryBudget budget(Ratio(0.1), 3);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
      budget.OnRequest();
      while (budget.TryRetry()) ++retries;
    }
    // The budget is full at the first request, which therefore adds nothing to it.
    CPPUNIT_ASSERT(retries >= 102 && retries <= 103);
  }

  // Guards against a burst of retries after a long period without failures.
  void BudgetIsCappedAtReserve() {
    RetryBudget budget(Ratio(0.1), 3);
    for (int i = 0; i < 1000; ++i) budget.OnRequest();
    int retries = 0;
    while (budget.TryRetry()) ++retries;
    CPPUNIT_ASSERT_EQUAL(3, retries);
  }

  // Guards against overflow of the doubled bound and against synchronized retries.
  void BackoffStaysWithinBounds() {
    const Backoff backoff(std::chrono::milliseconds(10), std::chrono::seconds(1));
    Random random(1);
    Duration longest{};
    for (std::uint32_t retry = 0; retry < 200; ++retry) {
      const Duration delay = backoff.Delay(StepNumber(retry), random);
      CPPUNIT_ASSERT(delay >= Duration::zero() && delay < std::chrono::seconds(1));
      longest = std::max(longest, delay);
    }
    CPPUNIT_ASSERT(longest > std::chrono::milliseconds(900));
    CPPUNIT_ASSERT(backoff.Delay(StepNumber(0), random) < std::chrono::milliseconds(10));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

}  // namespace bamboodock
