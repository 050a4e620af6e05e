#include "bamboodock/codec/json_nesting_tracker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace bamboodock {

class JsonNestingTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JsonNestingTrackerTest);
  CPPUNIT_TEST(NeverExceedsTheRemainingBytes);
  CPPUNIT_TEST(IgnoresBracketsInStrings);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a read that waits for bytes of the next event and so delays a token.
  void NeverExceedsTheRemainingBytes() {
    const std::string text = R"({"a":[{"b":"x\"}","c":[]}],"d":{"e":"é"}})";
    JsonNestingTracker tracker;
    for (std::size_t i = 0; i < text.size(); ++i) {
      tracker.Feed(text[i]);
      CPPUNIT_ASSERT(tracker.min_remaining_bytes() <= text.size() - i - 1);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tracker.min_remaining_bytes());
  }

  // Guards against a reader that waits for ever because of brackets in strings.
  void IgnoresBracketsInStrings() {
    JsonNestingTracker tracker;
    for (const char byte : std::string("\"[[[{{{\\\"")) tracker.Feed(byte);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tracker.min_remaining_bytes());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonNestingTrackerTest);

}  // namespace bamboodock
