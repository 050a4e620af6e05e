#include "bamboodock/policy/registration_grace.h"

#include <cppunit/extensions/HelperMacros.h>

#include "policy/at.h"

namespace bamboodock {
namespace {

constexpr std::chrono::milliseconds kGrace{2200};
constexpr StoreEra kEra(1);
constexpr StoreRevision kReturnRevision{kEra, 22};

}  // namespace

class RegistrationGraceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistrationGraceTest);
  CPPUNIT_TEST(RemovalInTheOutageIsKeptUntilTheGraceEnds);
  CPPUNIT_TEST(RemovalAfterTheReturnTakesEffectAtOnce);
  CPPUNIT_TEST(RemovalWithoutAnOutageTakesEffectAtOnce);
  CPPUNIT_TEST(GraceIsCountedFromTheReturn);
  CPPUNIT_TEST(RemovalOfAnotherEraTakesEffectAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against live endpoints that are lost because their registrations expired in an outage.
  void RemovalInTheOutageIsKeptUntilTheGraceEnds() {
    const RegistrationGrace grace = AfterOutage();
    CPPUNIT_ASSERT(grace.KeepUntil(kReturnRevision, At(1500)) == At(1000) + kGrace);
    CPPUNIT_ASSERT(!grace.KeepUntil(kReturnRevision, At(3200)));
  }

  // Guards against requests to an endpoint that leaves within the grace time (incident
  // leaving-after-store-return).
  void RemovalAfterTheReturnTakesEffectAtOnce() {
    CPPUNIT_ASSERT(
        !AfterOutage().KeepUntil(StoreRevision{kEra, kReturnRevision.number + 1}, At(1500)));
  }

  void RemovalWithoutAnOutageTakesEffectAtOnce() {
    RegistrationGrace grace(kGrace);
    grace.OnAnswer(kReturnRevision, At(1000));
    CPPUNIT_ASSERT(!grace.KeepUntil({kEra, 1}, At(1000)));
  }

  // Guards against answers after the return that extend the grace time again and again.
  void GraceIsCountedFromTheReturn() {
    RegistrationGrace grace = AfterOutage();
    grace.OnAnswer(StoreRevision{kEra, kReturnRevision.number + 5}, At(2000));
    CPPUNIT_ASSERT(grace.return_revision() == kReturnRevision);
    CPPUNIT_ASSERT(grace.KeepUntil(kReturnRevision, At(2000)) == At(1000) + kGrace);
  }

  // Guards against a removal that is held back, since its revision is compared with one that was
  // given out before the store returned from an older copy (incident store-returns-from-copy).
  void RemovalOfAnotherEraTakesEffectAtOnce() {
    CPPUNIT_ASSERT(!AfterOutage().KeepUntil({kEra.Next(), 5}, At(1500)));
  }

 private:
  static RegistrationGrace AfterOutage() {
    RegistrationGrace grace(kGrace);
    grace.OnOutage();
    grace.OnAnswer(kReturnRevision, At(1000));
    return grace;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistrationGraceTest);

}  // namespace bamboodock
