#include "bamboodock/codec/event_splitter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {

class EventSplitterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventSplitterTest);
  CPPUNIT_TEST(HoldsBackPartialEvents);
  CPPUNIT_TEST(SplitPositionDoesNotChangeTheEvents);
  CPPUNIT_TEST(LeavesOutRepeatedEvents);
  CPPUNIT_TEST(DropsPartialEvent);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an incomplete event that reaches the caller before the stream is resumed on
  // another endpoint.
  void HoldsBackPartialEvents() {
    EventSplitter splitter;
    splitter.Append("id: 1\ndata: a\n\nid: 2\nda");
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), splitter.Take());
    CPPUNIT_ASSERT(splitter.HasPartial());
    CPPUNIT_ASSERT(splitter.last_id() == 1U);
  }

  // Guards against events that are lost or changed by the position at which a read ends.
  void SplitPositionDoesNotChangeTheEvents() {
    const std::string all = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata: \n\n";
    for (std::size_t cut = 0; cut <= all.size(); ++cut) {
      EventSplitter splitter;
      splitter.Append(all.substr(0, cut));
      std::string taken = splitter.Take();
      splitter.Append(all.substr(cut));
      taken += splitter.Take();
      CPPUNIT_ASSERT_EQUAL(all, taken);
      CPPUNIT_ASSERT(splitter.last_id() == 3U);
    }
  }

  // Guards against duplicate events when an endpoint repeats some after a resume.
  void LeavesOutRepeatedEvents() {
    EventSplitter splitter;
    splitter.set_last_id(5);
    splitter.Append("id: 5\ndata: e\n\nid: 6\ndata: f\n\n");
    CPPUNIT_ASSERT_EQUAL(std::string("id: 6\ndata: f\n\n"), splitter.Take());
  }

  // Guards against an event that is assembled from the parts of two runs.
  void DropsPartialEvent() {
    EventSplitter splitter;
    splitter.Append("id: 1\ndata: a\n\nid: 2\ndata: fir");
    splitter.Take();
    splitter.DropPartial();
    splitter.Append("id: 2\ndata: second\n\n");
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: second\n\n"), splitter.Take());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);

}  // namespace bamboodock
