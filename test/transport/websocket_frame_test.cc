#include "bamboodock/transport/internal/websocket_frame.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {

class WebSocketFrameTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WebSocketFrameTest);
  CPPUNIT_TEST(EncodesLengthsAtFormatBoundaries);
  CPPUNIT_TEST(MasksPayload);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a wrong length field, which makes the server close the connection.
  void EncodesLengthsAtFormatBoundaries() {
    const auto header = [](std::size_t size) {
      return internal::EncodeClientFrame(std::string(size, 'x'), {}).size() - size;
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, header(125));
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, header(126));
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, header(65535));
    CPPUNIT_ASSERT_EQUAL(std::size_t{14}, header(65536));
  }

  // Guards against a mask applied so that the server decodes a different payload.
  void MasksPayload() {
    const std::string frame = internal::EncodeClientFrame("abcde", {1, 2, 3, 4});
    const std::string expected{'\x82',  '\x85',  1,       2,       3,      4,
                               'a' ^ 1, 'b' ^ 2, 'c' ^ 3, 'd' ^ 4, 'e' ^ 1};
    CPPUNIT_ASSERT_EQUAL(expected, frame);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WebSocketFrameTest);

}  // namespace bamboodock
