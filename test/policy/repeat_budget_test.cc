#include "bamboodock/policy/repeat_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/policy/random.h"

namespace bamboodock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

MonotonicTime At(milliseconds time) { return MonotonicTime(seconds(100) + time); }

}  // namespace

class RepeatBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RepeatBudgetTest);
  CPPUNIT_TEST(SumOverEntriesStaysWithinLimit);
  CPPUNIT_TEST(BudgetRecoversAfterWindow);
  CPPUNIT_TEST(SlidingCountIsNeverTooLow);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against more repeats of a service than operators allow when several entries send at the
  // same time. Checks every window of random schedules of four entries.
  void SumOverEntriesStaysWithinLimit() {
    constexpr std::uint32_t kEntries = 4;
    const RepeatLimits limits{Ratio(0.5), 20, seconds(10)};
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Random random(seed);
      std::vector<RepeatBudget> entries(kEntries, RepeatBudget(limits));
      std::vector<std::pair<MonotonicTime, bool>> events;
      for (int step = 0; step < 4000; ++step) {
        const MonotonicTime now = At(milliseconds(step * 10));
        RepeatBudget& entry = entries[random.Below(kEntries)];
        if (random.Uniform() < 0.3) {
          entry.OnRequest(now);
          events.emplace_back(now, false);
        }
        if (entry.TryRepeat(now, kEntries)) events.emplace_back(now, true);
      }
      for (int end = 1000; end <= 40000; end += 500) {
        int requests = 0;
        int repeats = 0;
        for (const auto& [time, repeat] : events) {
          const bool inside = time <= At(milliseconds(end)) && time > At(milliseconds(end - 10000));
          if (inside) ++(repeat ? repeats : requests);
        }
        CPPUNIT_ASSERT(repeats <= 0.5 * requests + 20);
      }
    }
  }

  // Guards against a budget that is not restored when its window has passed.
  void BudgetRecoversAfterWindow() {
    RepeatBudget budget({Ratio(0), 10, seconds(10)});
    int first = 0;
    while (budget.TryRepeat(At(milliseconds(0)), 1)) ++first;
    CPPUNIT_ASSERT(first > 0 && first <= 10);
    CPPUNIT_ASSERT(!budget.TryRepeat(At(seconds(9)), 1));
    CPPUNIT_ASSERT(budget.TryRepeat(At(seconds(11)), 1));
  }

  // Guards against events that leave the window too early because they share a slice.
  void SlidingCountIsNeverTooLow() {
    SlidingCount count(seconds(1));
    for (int ms = 0; ms < 1000; ++ms) count.Add(At(milliseconds(ms)));
    CPPUNIT_ASSERT(count.Count(At(milliseconds(999))) == 1000);
    CPPUNIT_ASSERT(count.Count(At(milliseconds(1500))) >= 499);
    CPPUNIT_ASSERT(count.Count(At(milliseconds(2100))) == 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepeatBudgetTest);

}  // namespace bamboodock
