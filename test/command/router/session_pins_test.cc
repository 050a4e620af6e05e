#include "bamboodock/command/router/session_pins.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {
namespace {

using std::chrono::seconds;

const ServiceId kService("s1");
const SessionId kSession("c1");
const VersionId kOld("v1");
const VersionId kTarget("v2");
constexpr seconds kTimeout{5};

constexpr MonotonicTime At(int second) { return MonotonicTime(seconds(1000 + second)); }

}  // namespace

class SessionPinsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionPinsTest);
  CPPUNIT_TEST(PinRunsFromTheEndOfItsRequest);
  CPPUNIT_TEST(OverlappingRequestsHoldThePinTogether);
  CPPUNIT_TEST(RepeatedRequestPinsItsLastVersion);
  CPPUNIT_TEST(LostEndCountsAsTheDeadline);
  CPPUNIT_TEST(EndWithoutARequestIsIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a pin that ends while its request runs, since it counts from the begin
  // (review/8).
  void PinRunsFromTheEndOfItsRequest() {
    Begin(20);
    pins_.Prune(At(9));
    CPPUNIT_ASSERT(IsPinned(9));
    pins_.End(kService, kSession, At(9));
    CPPUNIT_ASSERT(IsPinned(14) && !IsPinned(15));
    pins_.Prune(At(15));
    int visits = 0;
    pins_.ForEach(kService, At(9), [&](const auto&, const auto&) { ++visits; });
    CPPUNIT_ASSERT_EQUAL(0, visits);
  }

  // Guards against a pin that ends with a short request while a longer one of the session runs, and
  // against one that holds on after the last of them.
  void OverlappingRequestsHoldThePinTogether() {
    Begin(20);
    Begin(3);
    pins_.End(kService, kSession, At(2));
    CPPUNIT_ASSERT(IsPinned(12));
    pins_.End(kService, kSession, At(12));
    CPPUNIT_ASSERT(IsPinned(17) && !IsPinned(18));
  }

  // Guards against a session that stays pinned to the version of an attempt that did not run, and
  // against a repeat that counts as a request of its own.
  void RepeatedRequestPinsItsLastVersion() {
    Begin(20);
    pins_.Change(kService, kSession, kTarget);
    CPPUNIT_ASSERT(pins_.Find(kService, kSession, At(1)) == kTarget);
    pins_.End(kService, kSession, At(2));
    CPPUNIT_ASSERT(!IsPinned(8));
    pins_.Change(kService, SessionId("c2"), kTarget);
    CPPUNIT_ASSERT(!pins_.Find(kService, SessionId("c2"), At(1)));
  }

  // Guards against pins that are never removed, when the report of an end was lost.
  void LostEndCountsAsTheDeadline() {
    Begin(20);
    CPPUNIT_ASSERT(IsPinned(25) && !IsPinned(26));
    Begin(30);
    pins_.End(kService, kSession, At(33));
    CPPUNIT_ASSERT(IsPinned(38) && !IsPinned(39));
  }

  // Guards against a count that wraps around, when an end is reported twice or after its pin was
  // removed.
  void EndWithoutARequestIsIgnored() {
    pins_.End(kService, kSession, At(0));
    CPPUNIT_ASSERT(!IsPinned(0));
    Begin(20);
    pins_.End(kService, kSession, At(2));
    pins_.End(kService, kSession, At(6));
    CPPUNIT_ASSERT(IsPinned(7) && !IsPinned(8));
  }

 private:
  void Begin(int deadline) { pins_.Begin(kService, kSession, kOld, At(deadline)); }
  bool IsPinned(int second) const { return pins_.Find(kService, kSession, At(second)).has_value(); }

  SessionPins pins_{kTimeout};
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionPinsTest);

}  // namespace bamboodock
