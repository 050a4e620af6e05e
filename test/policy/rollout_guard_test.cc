#include "bamboodock/policy/rollout_guard.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/policy/random.h"
#include "bamboodock/policy/version_evidence.h"

namespace bamboodock {

class RolloutGuardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutGuardTest);
  CPPUNIT_TEST(ChangeAfterLongGoodHistoryIsFound);
  CPPUNIT_TEST(GoodVersionIsNotWithdrawn);
  CPPUNIT_TEST(MergeIgnoresRepeatedAndLateReports);
  CPPUNIT_TEST(EachSignalCausesWithdrawal);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a version that turns bad after many good answers.
  void ChangeAfterLongGoodHistoryIsFound() {
    RolloutGuard guard;
    CPPUNIT_ASSERT(!guard.Observe({50000, 0, 0, 0, 0}).has_value());
    EvidenceCounters total{50000, 0, 0, 0, 0};
    int bad = 0;
    while (!guard.Observe(total) && bad < 100) {
      total.answers += 10;
      total.errors += 3;
      bad += 3;
    }
    CPPUNIT_ASSERT(bad < 25);
  }

  // Guards against withdrawal of a version at the acceptable error rate.
  void GoodVersionIsNotWithdrawn() {
    Random random(1);
    RolloutGuard guard;
    EvidenceCounters total;
    for (int i = 0; i < 100000; ++i) {
      ++total.answers;
      if (random.Uniform() < 0.01) ++total.errors;
      CPPUNIT_ASSERT(!guard.Observe(total).has_value());
    }
  }

  // Guards against counting evidence twice when peers relay it or an old report arrives late.
  void MergeIgnoresRepeatedAndLateReports() {
    VersionEvidence a;
    a.Merge(IncarnationId("x"), {10, 1, 0, 0, 0, 8, 1});
    a.Merge(IncarnationId("x"), {20, 2, 0, 0, 0, 16, 3});
    a.Merge(IncarnationId("x"), {10, 1, 0, 0, 0, 8, 1});
    VersionEvidence b;
    b.Merge(IncarnationId("y"), {5, 0, 0, 0, 0, 4, 2});
    b.Merge(a);
    a.Merge(b);
    a.Merge(b);
    const EvidenceCounters expected{25, 2, 0, 0, 0, 20, 5};
    CPPUNIT_ASSERT(a.total() == expected);
    CPPUNIT_ASSERT(b.total() == expected);
  }

  // Guards against a signal that is collected but not tested.
  void EachSignalCausesWithdrawal() {
    CPPUNIT_ASSERT(RolloutGuard().Observe({40, 40, 0, 0, 0}) == EvidenceSignal::kErrors);
    CPPUNIT_ASSERT(RolloutGuard().Observe({40, 0, 0, 40, 40}) == EvidenceSignal::kRatings);
    CPPUNIT_ASSERT(RolloutGuard().Observe({40, 0, 40, 0, 0}) == EvidenceSignal::kSlowAnswers);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutGuardTest);

}  // namespace bamboodock
