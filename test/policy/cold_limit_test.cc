#include "bamboodock/policy/cold_limit.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {

class ColdLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdLimitTest);
  CPPUNIT_TEST(SharesAddUpWithinBound);
  CPPUNIT_TEST(OneMoreEntryThanKnownStaysWithinBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a cold endpoint that all entries together push over.
  void SharesAddUpWithinBound() {
    const ColdBound bound{RequestRate(8.9), 1.5, 5};
    for (std::uint32_t entries = 1; entries <= 18; ++entries) {
      CPPUNIT_ASSERT(entries * ColdShare(bound, entries) <= 8.9 * 1.5 + 5);
    }
  }

  // Guards against a sum that breaks while an entry that joins is not known yet.
  void OneMoreEntryThanKnownStaysWithinBound() {
    const ColdBound bound{RequestRate(8.9), 1.5, 5};
    for (std::uint32_t entries = 4; entries <= 12; ++entries) {
      CPPUNIT_ASSERT((entries + 1) * ColdShare(bound, entries) <= 8.9 * 1.5 + 5);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdLimitTest);

}  // namespace bamboodock
