#include "bamboodock/policy/placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>

namespace bamboodock {
namespace {

constexpr std::chrono::milliseconds kHalfLife{1500};

/// Share of the decisions of all entries that go to the busiest endpoint, when each entry decides
/// once by the same reports of this age. Loads are nearly in balance with the speeds of the hosts.
/// @param by_error Whether ties within the error are broken; else the least time is chosen.
double BusiestShare(std::size_t entries, std::size_t endpoints, Duration age, bool by_error) {
  Random random(11);
  std::vector<double> times;
  std::vector<double> errors;
  for (std::size_t i = 0; i < endpoints; ++i) {
    PlacementOption option;
    option.slowdown = Slowdown(0.7 * std::pow(2.7, random.Uniform()));
    const double running = std::round(20 / option.slowdown.value() + 4 * random.Uniform());
    option.ahead = RequestEquivalents(running);
    times.push_back(ExpectedTime(option));
    errors.push_back(ExpectedTimeError(option, {0.1, ReportError(running, age, kHalfLife)}));
  }
  const auto error_of = [&](std::size_t i) { return by_error ? errors[i] : 0; };
  std::vector<double> sent(endpoints);
  for (std::size_t i = 0; i < entries; ++i) sent[ChoosePlacement(times, error_of, random)] += 1;
  return *std::max_element(sent.begin(), sent.end()) / static_cast<double>(entries);
}

}  // namespace

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(LongPromptsPreferFastEndpoints);
  CPPUNIT_TEST(EntriesWithTheSameReportsSpread);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against long prompts on slow endpoints, and against short ones that queue at fast ones.
  void LongPromptsPreferFastEndpoints() {
    PlacementOption fast;
    fast.slowdown = Slowdown(0.8);
    fast.ahead = RequestEquivalents(12);
    PlacementOption slow;
    slow.slowdown = Slowdown(1.6);
    slow.ahead = RequestEquivalents(4);
    fast.own = slow.own = ToRequests(Tokens(40));
    CPPUNIT_ASSERT(ExpectedTime(slow) < ExpectedTime(fast));
    fast.own = slow.own = ToRequests(Tokens(12000));
    CPPUNIT_ASSERT(ExpectedTime(fast) < ExpectedTime(slow));
    slow.own = ToRequests(Tokens(0));
    CPPUNIT_ASSERT(ExpectedTime(slow) < ExpectedTime(fast));
  }

  // Guards against all entries sending to the endpoint that is best by the same stale reports.
  void EntriesWithTheSameReportsSpread() {
    struct Fleet {
      std::size_t entries;
      std::size_t endpoints;
      double most;
    };
    for (const Fleet& fleet : {Fleet{29, 52, 0.2}, Fleet{300, 300, 0.05}, Fleet{677, 677, 0.03}}) {
      for (const int age_ms : {0, 250, 1000, 4000}) {
        const auto share = [&](bool by_error) {
          return BusiestShare(fleet.entries, fleet.endpoints, std::chrono::milliseconds(age_ms),
                              by_error);
        };
        CPPUNIT_ASSERT(share(true) < fleet.most);
        CPPUNIT_ASSERT(share(false) > 0.9);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

}  // namespace bamboodock
