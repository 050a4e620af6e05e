#include <cppunit/extensions/HelperMacros.h>

#include "process/support/child_process.h"

namespace bamboodock::process_test {
namespace {

constexpr std::chrono::seconds kExitTimeout{20};
constexpr int kExitInvalidSetting = 2;

/// Exit code of `bamboodock-router --check` with one more flag; -1 when it does not end.
int CheckSettings(const std::string& flag) {
  ChildProcess router(BinaryFolder() + "bamboodock-router",
                      {"--check", "--host=h1", "--store=127.0.0.1:1", flag},
                      BinaryFolder() + "router-settings.log");
  return router.Wait(kExitTimeout).value_or(-1);
}

}  // namespace

class RouterSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouterSettingsTest);
  CPPUNIT_TEST(LimitsMayBeFractions);
  CPPUNIT_TEST(WrongValuesAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a router that does not start because the platform states a limit as a fraction.
  void LimitsMayBeFractions() {
    for (const char* flag :
         {"--repeat_extra=44.16666666666667", "--repeat_window_s=7.5", "--exposure_tolerance=12.5",
          "--cold_tolerance=2.5", "--revoke_ms=2500.5", "--session_s=6.5", "--grace_s=7.25"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(flag, 0, CheckSettings(flag));
    }
  }

  // Guards against a router that serves with limits that make no sense.
  void WrongValuesAreRefused() {
    for (const char* flag :
         {"--repeat_extra=-1", "--cold_tolerance=-0.5", "--revoke_ms=soon", "--internal_ports=7340",
          "--internal_ports=7340,7340", "--internal_ports=7340,7355x", "--no_such_flag=1"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(flag, kExitInvalidSetting, CheckSettings(flag));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterSettingsTest);

}  // namespace bamboodock::process_test
