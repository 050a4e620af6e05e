#include "bamboodock/policy/connection_liveness.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {
namespace {

using std::chrono::milliseconds;

}  // namespace

class ConnectionLivenessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionLivenessTest);
  CPPUNIT_TEST(EndThatAcknowledgesNothingIsLost);
  CPPUNIT_TEST(EndThatReadsNothingIsNotLost);
  CPPUNIT_TEST(IdleEndIsNotLost);
  CPPUNIT_TEST(PauseOfTheProcessIsNoSilence);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a lost host that is noticed only at the deadline of its request.
  void EndThatAcknowledgesNothingIsLost() {
    for (const AckState& state : {AckState{1, 0, milliseconds(600)}, {0, 2, milliseconds(600)}}) {
      ConnectionLiveness liveness(kTimeout);
      for (int check = 1; check < 4; ++check) CPPUNIT_ASSERT(!liveness.Observe(state));
      CPPUNIT_ASSERT(liveness.Observe(state));
    }
  }

  // Guards against a sound end that is taken for lost since its receive window stays full.
  void EndThatReadsNothingIsNotLost() {
    ConnectionLiveness liveness(kTimeout);
    for (int check = 0; check < 100; ++check) {
      // Every other probe is on its way at the time of the check.
      CPPUNIT_ASSERT(!liveness.Observe({0, check % 2 == 0 ? 1U : 0U, milliseconds(6400)}));
      CPPUNIT_ASSERT(!liveness.Observe({3, 0, milliseconds(100)}));
    }
  }

  // Guards against an end that is taken for lost since nothing was sent to it for long.
  void IdleEndIsNotLost() {
    ConnectionLiveness liveness(kTimeout);
    for (int check = 0; check < 100; ++check) {
      CPPUNIT_ASSERT(!liveness.Observe({0, 0, std::chrono::hours(1)}));
    }
  }

  // Guards against work that is given up since this process or host was paused for some seconds.
  void PauseOfTheProcessIsNoSilence() {
    ConnectionLiveness liveness(kTimeout);
    CPPUNIT_ASSERT(!liveness.Observe({1, 0, milliseconds(500)}));
    CPPUNIT_ASSERT(!liveness.Observe({1, 0, std::chrono::seconds(30)}));
    CPPUNIT_ASSERT(!liveness.Observe({0, 0, milliseconds(1)}));
    CPPUNIT_ASSERT(!liveness.Observe({1, 0, milliseconds(600)}));
  }

 private:
  static constexpr std::chrono::seconds kTimeout{2};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionLivenessTest);

}  // namespace bamboodock
