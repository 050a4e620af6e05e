#include "bamboodock/policy/version_verdicts.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "bamboodock/policy/random.h"

namespace bamboodock {
namespace {

using std::chrono::seconds;

const VersionId kOld("v1");
const VersionId kBad("v2");
constexpr MonotonicTime kStart{seconds(1000)};

constexpr StoreRevision At(std::uint64_t number, std::uint64_t era = 1) {
  return {StoreEra(era), number};
}

VersionVerdict Rejected(const VersionId& version, StoreRevision order) {
  return {version, order, VersionStanding::kRejected};
}

}  // namespace

class VersionVerdictsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VersionVerdictsTest);
  CPPUNIT_TEST(NewestOrderDecides);
  CPPUNIT_TEST(ResultDoesNotDependOnTheOrderOfMerging);
  CPPUNIT_TEST(OnlyAbsenceForLongForgets);
  CPPUNIT_TEST(OldestVerdictsAreDropped);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a late row of an earlier order that undoes a verdict, or brings one back that a
  // later trial of the version has replaced.
  void NewestOrderDecides() {
    VersionVerdicts verdicts;
    CPPUNIT_ASSERT(verdicts.Merge({kBad, At(41), VersionStanding::kUndecided}));
    CPPUNIT_ASSERT(verdicts.Merge(Rejected(kBad, At(41))));
    CPPUNIT_ASSERT(!verdicts.Merge({kBad, At(41), VersionStanding::kUndecided}));
    CPPUNIT_ASSERT(verdicts.IsRejected(kBad));
    CPPUNIT_ASSERT(verdicts.Merge({kBad, At(60), VersionStanding::kAccepted}));
    CPPUNIT_ASSERT(!verdicts.Merge(Rejected(kBad, At(41))));
    CPPUNIT_ASSERT(!verdicts.IsRejected(kBad) && !verdicts.StandingOf(kOld));
    CPPUNIT_ASSERT(verdicts.Merge(Rejected(kBad, At(7, 2))));
    CPPUNIT_ASSERT(verdicts.IsRejected(kBad));
  }

  // Guards against entries that disagree for ever, since rows reached them in another order.
  void ResultDoesNotDependOnTheOrderOfMerging() {
    Random random(5);
    for (int play = 0; play < 200; ++play) {
      constexpr std::size_t kHeard = 12;
      std::vector<VersionVerdict> heard;
      heard.reserve(kHeard);
      for (std::size_t i = 0; i < kHeard; ++i) {
        heard.push_back({VersionId("v" + std::to_string(random.Below(5))),
                         At(random.Below(4), random.Below(3)),
                         static_cast<VersionStanding>(random.Below(3))});
      }
      VersionVerdicts one;
      for (const auto& verdict : heard) one.Merge(verdict);
      std::shuffle(heard.begin(), heard.end(), random);
      VersionVerdicts other;
      for (const auto& verdict : heard) other.Merge(verdict);
      CPPUNIT_ASSERT(one.Includes(other.List()) && other.Includes(one.List()));
      CPPUNIT_ASSERT(one.Includes(heard) && other.Includes(heard));
    }
  }

  // Guards against a verdict that is lost while endpoints are away for some seconds, and against
  // one that is kept for ever.
  void OnlyAbsenceForLongForgets() {
    VersionVerdicts verdicts;
    verdicts.Merge(Rejected(kBad, At(41)));
    verdicts.ForgetAbsent({kOld, kBad}, kStart);
    verdicts.ForgetAbsent({kOld}, kStart + seconds(100));
    verdicts.ForgetAbsent({kOld}, kStart + seconds(159));
    verdicts.ForgetAbsent({kOld, kBad}, kStart + seconds(160));
    verdicts.ForgetAbsent({kOld}, kStart + seconds(161));
    verdicts.ForgetAbsent({kOld}, kStart + seconds(221));
    CPPUNIT_ASSERT(verdicts.IsRejected(kBad));
    verdicts.ForgetAbsent({kOld}, kStart + seconds(222));
    CPPUNIT_ASSERT(!verdicts.StandingOf(kBad));
  }

  // Guards against rows that grow with each order of a service.
  void OldestVerdictsAreDropped() {
    VersionVerdicts verdicts;
    for (std::uint64_t order = 1; order <= 20; ++order) {
      verdicts.Merge(Rejected(VersionId("v" + std::to_string(order)), At(order)));
    }
    CPPUNIT_ASSERT_EQUAL(VersionVerdicts::kMaxVerdicts, verdicts.List().size());
    CPPUNIT_ASSERT(verdicts.List().front().order == At(20));
    CPPUNIT_ASSERT(!verdicts.Merge(Rejected(VersionId("v1"), At(1))));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionVerdictsTest);

}  // namespace bamboodock
