#include "bamboodock/policy/version_strategy.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace bamboodock {

class VersionChooserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VersionChooserTest);
  CPPUNIT_TEST(CascadeTakesCheapestSufficientPlan);
  CPPUNIT_TEST(StepIsTriedByProbabilityOfBeingSufficient);
  CPPUNIT_TEST(DeadlineBoundsEscalation);
  CPPUNIT_TEST(OverloadStopsEscalation);
  CPPUNIT_TEST(EveryStrategyTerminates);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    steps_ = {Step("s", 10, 1, 0.80), Step("m", 30, 2, 0.93), Step("l", 100, 4, 0.97)};
    query_.steps = steps_;
    query_.quality_target = Ratio(0.9);
    query_.remaining = std::chrono::seconds(60);
  }

  // Guards against the cost of the best version where a cheaper one is sufficient.
  void CascadeTakesCheapestSufficientPlan() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Next().value());
    steps_[0].quality.mean = Ratio(0.95);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Next().value());
    query_.quality_target = Ratio(0.99);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Next().value());
  }

  // Guards against use of a cheap version that is known to be insufficient, and against a version
  // that never gets the ratings that would show it to be sufficient.
  void StepIsTriedByProbabilityOfBeingSufficient() {
    steps_[1].quality = {Ratio(0.85), Ratio(0.01)};
    CPPUNIT_ASSERT_EQUAL(0, CountOfChoices(1));
    steps_[1].quality.deviation = Ratio(0.05);
    const int trials = CountOfChoices(1);
    CPPUNIT_ASSERT(trials > 50 && trials < 300);
    query_.overload = OverloadLevel::kElevated;
    CPPUNIT_ASSERT_EQUAL(0, CountOfChoices(1));
  }

  // Guards against a second step that cannot end before the deadline.
  void DeadlineBoundsEscalation() {
    query_.rejected = 1;
    query_.steps_taken = StepNumber(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Next().value());
    query_.remaining = std::chrono::seconds(3);
    CPPUNIT_ASSERT(!Next().has_value());
  }

  // Guards against escalations that add load to a service without free capacity.
  void OverloadStopsEscalation() {
    query_.overload = OverloadLevel::kSevere;
    query_.rejected = 0;
    query_.steps_taken = StepNumber(1);
    CPPUNIT_ASSERT(!Next().has_value());
  }

  // Guards against a request that never leaves its cascade.
  void EveryStrategyTerminates() {
    for (const VersionStrategy strategy : kVersionStrategies) {
      const auto chooser = MakeVersionChooser(strategy);
      VersionQuery query = query_;
      while (const auto next = chooser->Next(query, random_)) {
        CPPUNIT_ASSERT(*next < steps_.size());
        query.rejected = *next;
        query.steps_taken = query.steps_taken.Next();
        CPPUNIT_ASSERT(query.steps_taken <= query.max_steps);
      }
      CPPUNIT_ASSERT(query.steps_taken > StepNumber(0));
      query.steps = {};
      query.rejected.reset();
      CPPUNIT_ASSERT(!chooser->Next(query, random_).has_value());
    }
  }

 private:
  static StepOption Step(const char* id, std::uint64_t cost, int seconds, double quality) {
    const Quality estimate{Ratio(quality), Ratio(0.002)};
    return {VersionId(id), CostMicros(cost), std::chrono::seconds(seconds),
            estimate,      estimate,         Ratio(0.8)};
  }

  /// Number of choices of `step` in 1000.
  int CountOfChoices(std::optional<std::size_t> step) {
    const auto chooser = MakeVersionChooser();
    int count = 0;
    for (int i = 0; i < 1000; ++i) count += chooser->Next(query_, random_) == step ? 1 : 0;
    return count;
  }

  /// The step chosen in at least 90% of the cases, because samples of a posterior vary.
  std::optional<std::size_t> Next() {
    for (std::size_t step = 0; step < steps_.size(); ++step) {
      if (CountOfChoices(step) >= 900) return step;
    }
    CPPUNIT_ASSERT(CountOfChoices(std::nullopt) >= 900);
    return std::nullopt;
  }

  std::vector<StepOption> steps_;
  VersionQuery query_;
  Random random_{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionChooserTest);

}  // namespace bamboodock
