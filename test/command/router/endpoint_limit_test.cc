#include <cppunit/extensions/HelperMacros.h>

#include "fakes/entry_fleet.h"

namespace bamboodock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after which the entries must keep to a limit that an endpoint has named.
constexpr seconds kNoticeTime{3};

/// Requests that an endpoint may get in any 4 s.
double AllowedIn4Seconds(double limit) { return 1.5 * 4 * limit + 5; }

}  // namespace

/// Endpoints that name a rate limit, before 5 and 93 entries that share it.
class EndpointLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointLimitTest);
  CPPUNIT_TEST(FiveEntriesKeepToTheLimits);
  CPPUNIT_TEST(NinetyThreeEntriesKeepToTheLimits);
  CPPUNIT_TEST(LimitsHoldWithLateAndLostReports);
  CPPUNIT_TEST(LimitsHoldWhileEntriesJoinRestartAndEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against endpoints that get more requests than the rate limit that they name (incident
  // endpoint-rate-limit).
  void FiveEntriesKeepToTheLimits() {
    EntryFleet fleet(Small());
    LimitTwoThirds(fleet, Small());
    fleet.Run(seconds(20));
    CheckLimits(fleet, Small(), begin_ + kNoticeTime);
  }

  // Guards against shares that add up to more than the limit, since each is rounded up.
  void NinetyThreeEntriesKeepToTheLimits() {
    EntryFleet fleet(Large());
    LimitTwoThirds(fleet, Large());
    fleet.Run(seconds(20));
    CheckLimits(fleet, Large(), begin_ + kNoticeTime);
  }

  // Guards against limits that hold only while the entries hear of each other in time.
  void LimitsHoldWithLateAndLostReports() {
    for (EntryFleet::Settings settings : {Small(), Large()}) {
      settings.report_delay = milliseconds(3500);
      settings.report_loss = 0.5;
      EntryFleet fleet(settings);
      LimitTwoThirds(fleet, settings);
      fleet.Run(seconds(20));
      CheckLimits(fleet, settings, begin_ + kNoticeTime);
    }
  }

  // Guards against entries that use the share of a limit of others that they do not know of.
  void LimitsHoldWhileEntriesJoinRestartAndEnd() {
    for (const EntryFleet::Settings& settings : {Small(), Large()}) {
      EntryFleet fleet(settings);
      LimitTwoThirds(fleet, settings);
      fleet.Run(seconds(6));
      fleet.Join();
      fleet.Run(seconds(3));
      fleet.Stop(1);
      fleet.Run(seconds(5));
      fleet.Restart(2);
      fleet.Run(seconds(2));
      fleet.Join();
      fleet.Restart(0);
      fleet.Run(seconds(6));
      CheckLimits(fleet, settings, begin_ + kNoticeTime);
    }
  }

 private:
  static EntryFleet::Settings Small() {
    return {.entries = 5, .endpoints = 12, .request_rate = 50};
  }
  static EntryFleet::Settings Large() {
    return {.entries = 93, .endpoints = 60, .request_rate = 250};
  }

  static double Limit(std::size_t endpoint) {
    constexpr std::array<double, 5> kLimits{0.3, 1, 1.7, 2.4, 3.2};
    return kLimits.at(endpoint % kLimits.size());
  }
  static bool IsLimited(std::size_t endpoint) { return endpoint % 3 != 0; }

  /// Makes two of three endpoints name a limit, after some seconds without.
  void LimitTwoThirds(EntryFleet& fleet, const EntryFleet::Settings& settings) {
    fleet.Run(seconds(4));
    begin_ = fleet.now();
    for (std::size_t i = 0; i < settings.endpoints; ++i) {
      if (IsLimited(i)) fleet.SetLimit(i, RequestRate(Limit(i)));
    }
  }

  static void CheckLimits(const EntryFleet& fleet, const EntryFleet::Settings& settings,
                          MonotonicTime from) {
    for (std::size_t i = 0; i < settings.endpoints; ++i) {
      if (!IsLimited(i)) continue;
      const std::size_t most = fleet.MaxArrivals(i, from);
      const std::string text = std::to_string(settings.entries) + " entries, limit " +
                               std::to_string(Limit(i)) + ": " + std::to_string(most) + " in 4 s";
      CPPUNIT_ASSERT_MESSAGE(text, static_cast<double>(most) <= AllowedIn4Seconds(Limit(i)));
    }
  }

  MonotonicTime begin_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointLimitTest);

}  // namespace bamboodock
