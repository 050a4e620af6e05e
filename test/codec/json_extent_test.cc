#include "bamboodock/codec/json_extent.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace bamboodock {

class JsonExtentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JsonExtentTest);
  CPPUNIT_TEST(NeverClaimsMoreThanRemains);
  CPPUNIT_TEST(IgnoresBracketsInStrings);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a read that waits for bytes of the next event and so delays a token.
  void NeverClaimsMoreThanRemains() {
    const std::string text = R"({"a":[{"b":"x\"}","c":[]}],"d":{"e":"é"}})";
    JsonExtent extent;
    for (std::size_t i = 0; i < text.size(); ++i) {
      extent.Feed(text[i]);
      CPPUNIT_ASSERT(extent.least_remaining() <= text.size() - i - 1);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, extent.least_remaining());
  }

  // Guards against content with brackets that would make the reader wait for ever.
  void IgnoresBracketsInStrings() {
    JsonExtent extent;
    for (const char byte : std::string("\"[[[{{{\\\"")) extent.Feed(byte);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, extent.least_remaining());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonExtentTest);

}  // namespace bamboodock
