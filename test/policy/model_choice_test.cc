#include "bamboodock/policy/model_choice.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/policy/random.h"
#include "policy/at.h"

namespace bamboodock {
namespace {

using std::chrono::seconds;

const RouteHash kRoute(7);

/// Requests of a route, by the share of them for which each model suffices.
struct Workload {
  std::vector<double> prices;
  std::vector<double> suffices;
};

struct Replay {
  double price = 0;
  int asked_middle = 0;
  int insufficient = 0;
};

/// Serves one request a tenth of a second. A request that a model answers well is answered well by
/// each larger one.
/// @param skip_middle The earlier decision: the smallest model, then the largest.
Replay Serve(const Workload& workload, int requests, bool skip_middle) {
  std::vector<ModelCandidate> candidates;
  candidates.reserve(workload.prices.size());
  for (const double price : workload.prices) candidates.push_back({price, true});
  ModelAcceptances acceptances;
  Random random(5);
  Replay replay;
  for (std::int64_t i = 0; i < requests; ++i) {
    const MonotonicTime now = At(i * 100);
    const double difficulty = random.Uniform();
    std::optional<std::size_t> previous;
    for (std::uint32_t left = 3; left > 0; --left) {
      auto model = ModelChoice::Next(candidates, {kRoute, previous, left}, acceptances, now);
      if (skip_middle) model = previous ? candidates.size() - 1 : 0;
      CPPUNIT_ASSERT(model && (!previous || *model > *previous));
      replay.price += candidates[*model].price;
      if (*model == 1) ++replay.asked_middle;
      const bool suffices = difficulty < workload.suffices[*model];
      acceptances.Add(kRoute, *model, previous, suffices, now);
      previous = *model;
      if (suffices) break;
      if (*model + 1 == candidates.size()) ++replay.insufficient;
    }
  }
  return replay;
}

}  // namespace

class ModelChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ModelChoiceTest);
  CPPUNIT_TEST(MiddleModelIsSkippedWhereItCostsMore);
  CPPUNIT_TEST(MiddleModelIsAskedWhereItSaves);
  CPPUNIT_TEST(ModelThatCannotEndInTimeIsNotAsked);
  CPPUNIT_TEST(MiddleModelNeedsPricesAndAnAttemptAfterIt);
  CPPUNIT_TEST(LongQueuesKeepAnswersOfSmallModels);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that pay for a middle model and then for the largest one. Replays the
  // prices and shares that were measured.
  void MiddleModelIsSkippedWhereItCostsMore() {
    const Workload measured{{1, 7.5, 15}, {0.56, 0.65, 1}};
    const Replay earlier = Serve(measured, 2000, true);
    const Replay replay = Serve(measured, 2000, false);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(replay.asked_middle), replay.asked_middle <= 20);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(replay.price / earlier.price),
                           replay.price <= 1.02 * earlier.price);
    CPPUNIT_ASSERT_EQUAL(0, replay.insufficient);
  }

  // Guards against the largest model being paid for answers that the middle one gives as well.
  void MiddleModelIsAskedWhereItSaves() {
    const Workload easy{{1, 7.5, 15}, {0.5, 0.95, 1}};
    const Replay replay = Serve(easy, 2000, false);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(replay.asked_middle), replay.asked_middle >= 900);
    CPPUNIT_ASSERT(replay.price <= 0.7 * Serve(easy, 2000, true).price);
    CPPUNIT_ASSERT_EQUAL(0, replay.insufficient);
  }

  // Guards against requests that are lost because a larger model cannot answer them in time.
  void ModelThatCannotEndInTimeIsNotAsked() {
    CPPUNIT_ASSERT(ModelChoice::IsInTime(seconds(19), seconds(20)));
    CPPUNIT_ASSERT(!ModelChoice::IsInTime(seconds(21), seconds(20)));
    CPPUNIT_ASSERT(ModelChoice::GoodProbability(20) == Ratio(0.35));
    // An answer in hand that is probably bad is worth a greater risk than one that may be good.
    CPPUNIT_ASSERT(ModelChoice::IsInTime(seconds(25), seconds(20), Ratio(0.2)));
    CPPUNIT_ASSERT(!ModelChoice::IsInTime(seconds(25), seconds(20), Ratio(0.6)));
    CPPUNIT_ASSERT(!ModelChoice::IsInTime(seconds(60), seconds(20), Ratio(0.2)));
    const ModelAcceptances none;
    const std::vector<ModelCandidate> none_in_time{{1, false}, {7.5, false}, {15, false}};
    CPPUNIT_ASSERT(Next(none_in_time, std::nullopt, none) == 0U);
    CPPUNIT_ASSERT(!Next(none_in_time, 0, none));
    const std::vector<ModelCandidate> middle_in_time{{1, true}, {7.5, true}, {15, false}};
    CPPUNIT_ASSERT(Next(middle_in_time, 0, none) == 1U);
    CPPUNIT_ASSERT(!Next(middle_in_time, 1, none));
    ModelAcceptances rarely;
    for (int i = 0; i < 10; ++i) rarely.Add(kRoute, 1, 0, false, At(0));
    CPPUNIT_ASSERT(!Next(middle_in_time, 0, rarely));
  }

  // Guards against a request that has no attempt left when the middle model's answer does not
  // suffice, and against a choice by prices that the configuration does not state.
  void MiddleModelNeedsPricesAndAnAttemptAfterIt() {
    const std::vector<ModelCandidate> candidates{{1, true}, {2, true}, {15, true}};
    const std::vector<ModelCandidate> without_prices(3);
    CPPUNIT_ASSERT(Next(candidates, 0, {}, 2) == 1U && Next(candidates, 0, {}, 1) == 2U);
    CPPUNIT_ASSERT(Next(without_prices, std::nullopt, {}) == 0U);
    CPPUNIT_ASSERT(Next(without_prices, 0, {}) == 2U && !Next(without_prices, 2, {}));
  }

  // Guards against larger models that are asked while engines have long queues, and against a
  // setting that is applied to the wrong priority.
  void LongQueuesKeepAnswersOfSmallModels() {
    const ModelChoice choice({80, 60});
    Route route;
    route.models = {ModelId("m0"), ModelId("m1")};
    CPPUNIT_ASSERT(choice.WantsLarger(route, route.models[0], 70));
    CPPUNIT_ASSERT(!choice.WantsLarger(route, route.models[1], 70));
    CPPUNIT_ASSERT(!choice.WantsLarger(route, route.models[0], std::nullopt));
    route.priority = Priority(3);
    CPPUNIT_ASSERT(!choice.WantsLarger(route, route.models[0], 70));
    CPPUNIT_ASSERT(choice.LeastConfidence(route, {4000, Ratio(0.7)}) == 60);
    CPPUNIT_ASSERT(choice.LeastConfidence(route, {18000, Ratio(0)}) == 30);
    CPPUNIT_ASSERT(choice.LeastConfidence(route, {32000, Ratio(0)}) == 0);
    CPPUNIT_ASSERT(choice.LeastConfidence(route, {0, Ratio(0.9)}) == 0);
  }

 private:
  static std::optional<std::size_t> Next(const std::vector<ModelCandidate>& candidates,
                                         std::optional<std::size_t> previous,
                                         const ModelAcceptances& acceptances,
                                         std::uint32_t attempts_left = 3) {
    return ModelChoice::Next(candidates, {kRoute, previous, attempts_left}, acceptances, At(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ModelChoiceTest);

}  // namespace bamboodock
