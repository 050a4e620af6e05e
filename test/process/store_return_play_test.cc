#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

#include "process/support/return_play.h"

namespace bamboodock::process_test {
namespace {

/// Integer of an environment variable, or `fallback`. The names do not begin with BAMBOODOCK_,
/// since a router refuses to start when it knows no setting of that name.
std::uint64_t Setting(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::stoull(text);
}

}  // namespace

/// Router processes before a store that returns from older copies (incident
/// store-returns-from-copy). PLAY_SEED is the seed of the first play, by default 1, and
/// PLAY_COUNT the number of plays, by default 1.
class StoreReturnPlayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreReturnPlayTest);
  CPPUNIT_TEST(ChangesAreInForceAfterReturns);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against keys, routes and endpoints that are not in force, or are in force again, after
  // the store has come back from an older copy.
  void ChangesAreInForceAfterReturns() {
    const std::uint64_t first = Setting("PLAY_SEED", 1);
    const std::uint64_t count = Setting("PLAY_COUNT", 1);
    std::string failed;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
      if (!Play(seed)) failed += " " + std::to_string(seed);
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE("seeds of plays that failed", std::string(), failed);
  }

 private:
  static bool Play(std::uint64_t seed) {
    constexpr std::size_t kMaxLines = 40;
    ReturnPlay play(seed);
    const std::vector<std::string> violations = play.Run();
    std::cerr << "\nseed " << seed << ": " << violations.size() << " breaches, "
              << play.record().Summary() << '\n';
    if (violations.empty()) return true;
    for (std::size_t i = 0; i < violations.size() && i < kMaxLines; ++i) {
      std::cerr << violations[i] << '\n';
    }
    std::cerr << "time line of seed " << seed << ":\n" << play.record().TimeLine();
    return false;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReturnPlayTest);

}  // namespace bamboodock::process_test
