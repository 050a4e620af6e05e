#include "bamboodock/policy/cold_rate_limit.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {

class ColdRateLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdRateLimitTest);
  CPPUNIT_TEST(SharesAddUpWithinLimit);
  CPPUNIT_TEST(UnknownNewEntryStaysWithinLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a cold endpoint that all entries together overload: with 29 entries (scale-2 of
  // EMVA, grown) one request from each was too many.
  void SharesAddUpWithinLimit() {
    for (std::uint32_t entries = 1; entries <= 700; ++entries) {
      CPPUNIT_ASSERT(Sum(entries, entries) <= 8.9 * 1.5 + 5);
      CPPUNIT_ASSERT(Sum(entries, entries) >= 13);
    }
  }

  // Guards against an overload while the other entries do not know a new entry yet.
  void UnknownNewEntryStaysWithinLimit() {
    for (std::uint32_t entries = 4; entries <= 700; ++entries) {
      const std::uint32_t new_entry_share = ColdShare(kLimit, entries, 0);
      CPPUNIT_ASSERT(Sum(entries, entries) + new_entry_share <= 8.9 * 1.5 + 5);
    }
  }

 private:
  /// Requests in one second of `senders` entries, each of which counts `entries` entries.
  static std::uint32_t Sum(std::uint32_t senders, std::uint32_t entries) {
    std::uint32_t sum = 0;
    for (std::uint32_t rank = 0; rank < senders; ++rank) sum += ColdShare(kLimit, entries, rank);
    return sum;
  }

  static inline const ColdRateLimit kLimit{RequestRate(8.9), 1.5, 5};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdRateLimitTest);

}  // namespace bamboodock
