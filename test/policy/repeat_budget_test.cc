#include "bamboodock/policy/repeat_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/policy/model_choice.h"
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
  CPPUNIT_TEST(SumStaysWithinLimitWhenEntriesRestart);
  CPPUNIT_TEST(UnsentRepeatIsGivenBack);
  CPPUNIT_TEST(FailedRequestsComeBeforeEscalations);
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

  // Guards against a limit that is exceeded because an entry that restarts has lost its counts.
  void SumStaysWithinLimitWhenEntriesRestart() {
    constexpr std::uint32_t kEntries = 4;
    const RepeatLimits limits{Ratio(0.5), 20, seconds(10)};
    std::vector<RepeatBudget> entries(kEntries, RepeatBudget(limits));
    std::vector<std::pair<int, bool>> events;
    for (int ms = 0; ms < 20000; ms += 10) {
      RepeatBudget& entry = entries[static_cast<std::size_t>(ms / 10) % kEntries];
      if (ms == 10000) entries.assign(kEntries, RepeatBudget(limits));
      if (ms % 40 == 0) {
        entry.OnRequest(At(milliseconds(ms)));
        events.emplace_back(ms, false);
      }
      if (entry.TryRepeat(At(milliseconds(ms)), kEntries)) events.emplace_back(ms, true);
    }
    for (int end = 10000; end <= 20000; end += 100) {
      int requests = 0;
      int repeats = 0;
      for (const auto& [time, repeat] : events) {
        if (time > end || time <= end - 10000) continue;
        ++(repeat ? repeats : requests);
      }
      CPPUNIT_ASSERT(repeats <= 0.5 * requests + 20);
    }
  }

  // Guards against repeats that are refused because attempts that reached no endpoint were charged.
  void UnsentRepeatIsGivenBack() {
    RepeatBudget budget({Ratio(0), 2, seconds(10)});
    CPPUNIT_ASSERT(budget.TryRepeat(At(seconds(0)), 1));
    CPPUNIT_ASSERT(!budget.TryRepeat(At(seconds(1)), 1));
    budget.OnUnsent(At(seconds(1)));
    CPPUNIT_ASSERT(budget.TryRepeat(At(seconds(1)), 1));
  }

  // Guards against failed requests that find the budget used up by escalations. Replays 6 s in
  // which a third of the answers is lost, while three quarters of the answers of the small model
  // have a low confidence, against a budget that serves both in the order of arrival.
  void FailedRequestsComeBeforeEscalations() {
    const int in_order = RefusedFailures(false);
    const int reserved = RefusedFailures(true);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(in_order), in_order > 10);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(reserved), reserved <= in_order / 4);
  }

  // Guards against events that leave the window too early because they share a slice.
  void SlidingCountIsNeverTooLow() {
    SlidingCount count(seconds(1));
    for (int ms = 0; ms < 1000; ++ms) count.Add(At(milliseconds(ms)));
    CPPUNIT_ASSERT(count.Count(At(milliseconds(999))) == 1000);
    CPPUNIT_ASSERT(count.Count(At(milliseconds(1500))) >= 499);
    CPPUNIT_ASSERT(count.Count(At(milliseconds(2100))) == 0);
  }

 private:
  /// Failed requests that may not be repeated in the replay.
  static int RefusedFailures(bool reserve) {
    constexpr std::uint32_t kEntries = 30;
    const ModelChoice models({60});
    const Route route;
    RepeatBudget budget({Ratio(0.9), 100, seconds(10)});
    Random random(7);
    int refused = 0;
    for (int ms = 0; ms < 30000; ms += 50) {
      const MonotonicTime now = At(milliseconds(ms));
      budget.OnRequest(now);
      const bool answers_are_lost = ms >= 15000 && ms < 21000;
      if (answers_are_lost && random.Uniform() < 1.0 / 3 && !budget.TryRepeat(now, kEntries)) {
        ++refused;
      }
      EscalationConditions conditions;
      if (reserve) conditions.budget_used = budget.UsedPart(now, kEntries);
      const double confidence = 80 * random.Uniform();
      if (confidence < models.LeastConfidence(route, conditions)) {
        budget.TryRepeat(now, kEntries);
        // The larger model's answer is lost as well.
        if (answers_are_lost && random.Uniform() < 1.0 / 3 && !budget.TryRepeat(now, kEntries)) {
          ++refused;
        }
      }
    }
    return refused;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepeatBudgetTest);

}  // namespace bamboodock
