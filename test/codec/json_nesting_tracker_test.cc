#include "bamboodock/codec/json_nesting_tracker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace bamboodock {

class JsonNestingTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JsonNestingTrackerTest);
  CPPUNIT_TEST(NeverClaimsMoreThanRemains);
  CPPUNIT_TEST(IgnoresBracketsInStrings);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a read that waits for bytes of the next event and so delays a token.
  void NeverClaimsMoreThanRemains() {
    const std::string text = R"({"a":[{"b":"x\"}","c":[]}],"d":{"e":"é"}})";
    JsonNestingTracker extent;
    for (std::size_t i = 0; i < text.size(); ++i) {
      extent.Feed(text[i]);
      CPPUNIT_ASSERT(extent.min_remaining_bytes() <= text.size() - i - 1);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, extent.min_remaining_bytes());
  }

  // Guards against content with brackets that would make the reader wait for ever.
  void IgnoresBracketsInStrings() {
    JsonNestingTracker extent;
    for (const char byte : std::string("\"[[[{{{\\\"")) extent.Feed(byte);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, extent.min_remaining_bytes());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonNestingTrackerTest);

}  // namespace bamboodock
