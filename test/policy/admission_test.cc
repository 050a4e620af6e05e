#include "bamboodock/policy/admission.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "bamboodock/policy/drain_rate.h"
#include "bamboodock/policy/return_schedule.h"
#include "policy/at.h"

namespace bamboodock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ServiceCondition Full(std::size_t ahead, std::optional<RequestRate> drain,
                      std::size_t returning = 0) {
  return {false, ahead, returning, drain};
}

ReturnSchedule::Caller Caller(int number) {
  return {ClientAccountId("a"), SessionId(std::to_string(number))};
}

}  // namespace

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(FreeSlotAdmitsWhateverIsExpected);
  CPPUNIT_TEST(HopelessRequestIsRefusedAtOnce);
  CPPUNIT_TEST(UnknownRateIsNoReasonToRefuse);
  CPPUNIT_TEST(RetryAfterFollowsTheDrainRate);
  CPPUNIT_TEST(RetryAfterStaysWithinItsLimits);
  CPPUNIT_TEST(RefusedCallersReturnAsFastAsTheyAreServed);
  CPPUNIT_TEST(RetriesWithoutPauseGainNothing);
  CPPUNIT_TEST(DrainRateFollowsALossOfCapacity);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a refusal while there is a free slot.
  void FreeSlotAdmitsWhateverIsExpected() {
    ServiceCondition service = Full(100, RequestRate(1));
    service.has_free_slot = true;
    const auto decision = Admission::Decide(service, {milliseconds(10), seconds(5)});
    CPPUNIT_ASSERT(decision.verdict == AdmissionVerdict::kAdmit);
  }

  // Guards against requests that wait for a slot that comes too late for them.
  void HopelessRequestIsRefusedAtOnce() {
    const RequestTimes times{seconds(2), milliseconds(500)};
    const auto waits = Admission::Decide(Full(9, RequestRate(10)), times);
    CPPUNIT_ASSERT(waits.verdict == AdmissionVerdict::kWait);
    CPPUNIT_ASSERT(waits.expected_wait == seconds(1));
    const auto hopeless = Admission::Decide(Full(29, RequestRate(10)), times);
    CPPUNIT_ASSERT(hopeless.verdict == AdmissionVerdict::kRefuse);
    CPPUNIT_ASSERT(hopeless.reason == AdmissionRefusal::kHopeless);
    const auto too_long = Admission::Decide(Full(0, RequestRate(10)), {seconds(2), seconds(2)});
    CPPUNIT_ASSERT(too_long.verdict == AdmissionVerdict::kRefuse);
  }

  // Guards against refusals by an entry that has seen no attempt end yet.
  void UnknownRateIsNoReasonToRefuse() {
    const auto decision = Admission::Decide(Full(50, std::nullopt), {seconds(1), Duration{}});
    CPPUNIT_ASSERT(decision.verdict == AdmissionVerdict::kWait && !decision.expected_wait);
  }

  // Guards against callers that return together, or before they can be served.
  void RetryAfterFollowsTheDrainRate() {
    Random random(1);
    std::set<Duration> times;
    for (int i = 0; i < 200; ++i) {
      const Duration after =
          Admission::RetryAfter(Full(15, RequestRate(20), 5), seconds(30), random);
      CPPUNIT_ASSERT(after >= milliseconds(750) && after <= milliseconds(1250));
      times.insert(after);
    }
    CPPUNIT_ASSERT(times.size() > 190);
    CPPUNIT_ASSERT(*times.rbegin() - *times.begin() > milliseconds(400));
  }

  // Guards against callers that retry at once, or are told to return when it is too late.
  void RetryAfterStaysWithinItsLimits() {
    Random random(1);
    const auto after = [&](std::size_t ahead, std::optional<RequestRate> rate, Duration left) {
      return Admission::RetryAfter(Full(ahead, rate), left, random);
    };
    CPPUNIT_ASSERT(after(0, RequestRate(100), seconds(9)) == milliseconds(100));
    CPPUNIT_ASSERT(after(100000, RequestRate(0.1), seconds(9)) <= seconds(3));
    CPPUNIT_ASSERT(after(100000, RequestRate(0), seconds(9)) <= seconds(3));
    CPPUNIT_ASSERT(after(9, std::nullopt, milliseconds(60)) == milliseconds(100));
    CPPUNIT_ASSERT(after(9, std::nullopt, -seconds(1)) == milliseconds(100));
  }

  // Guards against a crowd of refused callers that comes back faster than slots become free, as
  // with one fixed time for all.
  void RefusedCallersReturnAsFastAsTheyAreServed() {
    constexpr int kCallers = 200;
    const RequestRate drain(50);
    Random random(1);
    ReturnSchedule schedule;
    std::multiset<Duration> returns;
    for (int i = 0; i < kCallers; ++i) {
      const auto service = Full(0, drain, schedule.Expected(At(0)));
      const Duration after = Admission::RetryAfter(service, seconds(60), random);
      returns.insert(schedule.Tell(Caller(i), after, At(0)));
    }
    std::size_t most = 0;
    for (std::int64_t begin = 0; begin < 5000; begin += 100) {
      const auto first = returns.lower_bound(milliseconds(begin));
      const auto last = returns.lower_bound(milliseconds(begin + 500));
      most = std::max(most, static_cast<std::size_t>(std::distance(first, last)));
    }
    // 25 are served in half a second; a fixed time brings back all 200 together.
    CPPUNIT_ASSERT(most <= 50);
    CPPUNIT_ASSERT(*returns.rbegin() >= seconds(3) && *returns.rbegin() <= seconds(5));
  }

  // Guards against callers that retry without a pause and delay or overtake those that wait.
  void RetriesWithoutPauseGainNothing() {
    ReturnSchedule schedule;
    schedule.Tell(Caller(1), seconds(1), At(0));
    for (std::int64_t now = 10; now < 900; now += 10) {
      CPPUNIT_ASSERT(!schedule.Redeem(Caller(1), At(now)));
      const Duration told = schedule.Tell(Caller(1), seconds(1), At(now));
      CPPUNIT_ASSERT(told == At(1000) - At(now));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, schedule.Expected(At(900)));
    CPPUNIT_ASSERT(schedule.Redeem(Caller(1), At(1000)) == At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, schedule.Expected(At(900)));
    schedule.Tell(Caller(2), seconds(1), At(0));
    CPPUNIT_ASSERT(!schedule.Redeem(Caller(2), At(9000)));
  }

  // Guards against times that are still computed for the endpoints that have gone.
  void DrainRateFollowsALossOfCapacity() {
    DrainRate rate;
    CPPUNIT_ASSERT(!rate.Rate(At(0)));
    std::int64_t now = 0;
    for (; now < 1000; now += 25) rate.OnFreed(At(now));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(40, rate.Rate(At(now))->value(), 2);
    for (; now < 6000; now += 100) rate.OnFreed(At(now));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, rate.Rate(At(now))->value(), 4);
    CPPUNIT_ASSERT(!rate.Rate(At(now + 20000)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

}  // namespace bamboodock
