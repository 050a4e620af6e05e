#include "bamboodock/policy/cold_rate_limit.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {

class ColdRateLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdRateLimitTest);
  CPPUNIT_TEST(SharesAddUpWithinBound);
  CPPUNIT_TEST(OneMoreEntryThanKnownStaysWithinBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a cold endpoint that all entries together push over; at 29 entries (scale-2 of
  // EMVA, grown) one request of each was too much.
  void SharesAddUpWithinBound() {
    for (std::uint32_t entries = 1; entries <= 700; ++entries) {
      CPPUNIT_ASSERT(Sum(entries, entries) <= 8.9 * 1.5 + 5);
      CPPUNIT_ASSERT(Sum(entries, entries) >= 13);
    }
  }

  // Guards against a sum that breaks while an entry that joins is not known yet.
  void OneMoreEntryThanKnownStaysWithinBound() {
    for (std::uint32_t entries = 4; entries <= 700; ++entries) {
      const std::uint32_t newcomer = ColdShare(kBound, entries, 0);
      CPPUNIT_ASSERT(Sum(entries, entries) + newcomer <= 8.9 * 1.5 + 5);
    }
  }

 private:
  /// Requests of `senders` entries, each of which knows of `entries`.
  static std::uint32_t Sum(std::uint32_t senders, std::uint32_t entries) {
    std::uint32_t sum = 0;
    for (std::uint32_t rank = 0; rank < senders; ++rank) sum += ColdShare(kBound, entries, rank);
    return sum;
  }

  static inline const ColdRateLimit kBound{RequestRate(8.9), 1.5, 5};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdRateLimitTest);

}  // namespace bamboodock
