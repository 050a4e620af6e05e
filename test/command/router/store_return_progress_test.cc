#include "bamboodock/command/router/store_return_progress.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {
namespace {

constexpr MonotonicTime At(int ms) { return MonotonicTime(std::chrono::milliseconds(ms)); }

}  // namespace

class StoreReturnProgressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreReturnProgressTest);
  CPPUNIT_TEST(LastTableGivesTheSum);
  CPPUNIT_TEST(ListingsWithoutAReturnGiveNone);
  CPPUNIT_TEST(FurtherReturnBeginsAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a table whose second listing is taken for that of a table that is missing.
  void LastTableGivesTheSum() {
    StoreReturnProgress progress(2);
    progress.OnReturn(At(100));
    CPPUNIT_ASSERT(!progress.OnListed("op", 1, 2, At(150)));
    CPPUNIT_ASSERT(!progress.OnListed("op", 10, 20, At(160)));
    const auto reading = progress.OnListed("servers", 3, 4, At(170));
    CPPUNIT_ASSERT(reading);
    CPPUNIT_ASSERT(reading->elapsed == std::chrono::milliseconds(70));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), reading->kept);
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), reading->outdated);
  }

  // Guards against listings at the start, or after a return has been read, that count as a return.
  void ListingsWithoutAReturnGiveNone() {
    StoreReturnProgress progress(1);
    CPPUNIT_ASSERT(!progress.OnListed("op", 0, 0, At(10)));
    progress.OnReturn(At(100));
    CPPUNIT_ASSERT(progress.OnListed("op", 0, 0, At(150)));
    CPPUNIT_ASSERT(!progress.OnListed("op", 0, 0, At(200)));
  }

  // Guards against listings of two eras that are added up.
  void FurtherReturnBeginsAgain() {
    StoreReturnProgress progress(2);
    progress.OnReturn(At(100));
    CPPUNIT_ASSERT(!progress.OnListed("op", 5, 5, At(150)));
    progress.OnReturn(At(200));
    CPPUNIT_ASSERT(!progress.OnListed("servers", 1, 0, At(210)));
    const auto reading = progress.OnListed("op", 0, 1, At(220));
    CPPUNIT_ASSERT(reading);
    CPPUNIT_ASSERT(reading->elapsed == std::chrono::milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), reading->kept);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), reading->outdated);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReturnProgressTest);

}  // namespace bamboodock
