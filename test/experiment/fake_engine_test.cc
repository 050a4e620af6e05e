#include "bamboodock/experiment/fake_engine.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/experiment/rollout_run.h"

namespace bamboodock::experiment {

class FakeEngineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FakeEngineTest);
  CPPUNIT_TEST(ColdEngineFailsBeyondItsLimit);
  CPPUNIT_TEST(KillFailsRunningJobsOnce);
  CPPUNIT_TEST(CachedPrefixNeedsNoPrefill);
  CPPUNIT_TEST(SimultaneousEventsRunInInsertionOrder);
  CPPUNIT_TEST(SameSeedGivesSameRollout);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a cold engine without a limit, with which cold starts would not affect the
  // results.
  void ColdEngineFailsBeyondItsLimit() {
    engine_.TurnCold();
    for (int i = 0; i < 3; ++i) Start(static_cast<std::uint64_t>(i));
    loop_.RunUntil(MonotonicTime{std::chrono::seconds(60)});
    CPPUNIT_ASSERT_EQUAL(2, ok_);
    CPPUNIT_ASSERT_EQUAL(1, failed_);
  }

  // Guards against requests that are counted twice when the engines of a lost zone stop.
  void KillFailsRunningJobsOnce() {
    for (int i = 0; i < 3; ++i) Start(static_cast<std::uint64_t>(i));
    loop_.RunUntil(MonotonicTime{std::chrono::milliseconds(100)});
    engine_.Kill();
    loop_.RunUntil(MonotonicTime{std::chrono::seconds(60)});
    CPPUNIT_ASSERT_EQUAL(0, ok_);
    CPPUNIT_ASSERT_EQUAL(3, failed_);
  }

  // Guards against an engine that ignores cached prefixes, with which affinity would bring no
  // benefit.
  void CachedPrefixNeedsNoPrefill() {
    Start(1);
    Start(1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{900}, engine_.cached_tokens());
  }

  // Guards against results that depend on the heap's order of events with the same time.
  void SimultaneousEventsRunInInsertionOrder() {
    std::vector<int> order;
    for (int i = 0; i < 20; ++i) loop_.At(MonotonicTime{}, [&order, i] { order.push_back(i); });
    loop_.RunUntil(MonotonicTime{});
    for (int i = 0; i < 20; ++i) CPPUNIT_ASSERT_EQUAL(i, order.at(static_cast<std::size_t>(i)));
  }

  // Guards against measurements that a run with the same seed does not reproduce.
  void SameSeedGivesSameRollout() {
    RolloutSettings settings;
    settings.steps = {{MonotonicTime{}, Ratio(1.0)}};
    settings.degraded_from = MonotonicTime{std::chrono::minutes(10)};
    settings.degraded_error_rate = Ratio(0.3);
    settings.end = MonotonicTime{std::chrono::minutes(15)};
    const RolloutResult first = RolloutRun(settings, 7).Run();
    const RolloutResult second = RolloutRun(settings, 7).Run();
    CPPUNIT_ASSERT(first.withdrawn_at.has_value() && first.withdrawn_at == second.withdrawn_at);
    CPPUNIT_ASSERT_EQUAL(first.answers, second.answers);
    CPPUNIT_ASSERT_EQUAL(first.bad_answers, second.bad_answers);
  }

 private:
  void Start(std::uint64_t prefix) {
    EngineJob job;
    job.prompt = Tokens(1000);
    job.completion = Tokens(10);
    job.prefix_key = prefix;
    job.prefix = Tokens(900);
    job.on_first_token = [] {};
    job.on_end = [this](bool ok) { ++(ok ? ok_ : failed_); };
    engine_.Start(std::move(job));
  }

  EventLoop loop_;
  FakeEngine engine_{loop_, EngineParameters{}};
  int ok_ = 0;
  int failed_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FakeEngineTest);

}  // namespace bamboodock::experiment
