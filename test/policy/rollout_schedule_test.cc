#include "bamboodock/policy/rollout_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {

class RolloutScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutScheduleTest);
  CPPUNIT_TEST(TrialStaysSmallInFirstHalf);
  CPPUNIT_TEST(NothingMovesWithoutEvidence);
  CPPUNIT_TEST(BadVersionGetsNothing);
  CPPUNIT_TEST(ShareOnlyRises);
  CPPUNIT_TEST(EndsWhenOldVersionIsIdle);
  CPPUNIT_TEST(EndsInTimeWithOpenRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against sessions that change their version in the first half of a rollout.
  void TrialStaysSmallInFirstHalf() {
    CPPUNIT_ASSERT(Share(0.01, 100) == 0);
    CPPUNIT_ASSERT(Share(0.3, 100) == schedule_.trial_share.value());
    CPPUNIT_ASSERT(Share(0.5, 100) == schedule_.trial_share.value());
  }

  // Guards against moving all traffic to a version that nobody has tried.
  void NothingMovesWithoutEvidence() {
    CPPUNIT_ASSERT(Share(0.9, 0) == schedule_.trial_share.value());
    CPPUNIT_ASSERT(Share(0.9, 100) == 1);
  }

  void BadVersionGetsNothing() {
    RolloutSituation now = Situation(0.9, 100);
    now.bad = true;
    CPPUNIT_ASSERT(NewVersionShare(schedule_, now).value() == 0);
    CPPUNIT_ASSERT(NextState(schedule_, now) == RolloutState::kRolledBack);
  }

  // Guards against sessions that go back and forth while traffic moves.
  void ShareOnlyRises() {
    double before = 0;
    for (int percent = 0; percent < 100; ++percent) {
      const double share = Share(percent / 100.0, 100);
      CPPUNIT_ASSERT(share >= before);
      before = share;
    }
  }

  // Guards against old endpoints that are stopped with requests open.
  void EndsWhenOldVersionIsIdle() {
    RolloutSituation now = Situation(0.75, 100);
    now.open_at_old = 3;
    CPPUNIT_ASSERT(NextState(schedule_, now) == RolloutState::kRunning);
    now.open_at_old = 0;
    CPPUNIT_ASSERT(NextState(schedule_, now) == RolloutState::kCompleted);
  }

  void EndsInTimeWithOpenRequests() {
    RolloutSituation now = Situation(0.95, 100);
    now.open_at_old = 3;
    CPPUNIT_ASSERT(NextState(schedule_, now) == RolloutState::kCompleted);
  }

 private:
  static RolloutSituation Situation(double progress, std::uint64_t answers) {
    RolloutSituation now;
    now.progress = progress;
    now.answers = answers;
    return now;
  }
  double Share(double progress, std::uint64_t answers) const {
    return NewVersionShare(schedule_, Situation(progress, answers)).value();
  }

  RolloutSchedule schedule_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutScheduleTest);

}  // namespace bamboodock
