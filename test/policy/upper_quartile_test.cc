#include "bamboodock/policy/upper_quartile.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/policy/random.h"

namespace bamboodock {

class UpperQuartileTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpperQuartileTest);
  CPPUNIT_TEST(AQuarterOfTheValuesIsAbove);
  CPPUNIT_TEST(NothingIsAboveTooFewValues);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a threshold that a few extreme values raise beyond what is twice as slow.
  void AQuarterOfTheValuesIsAbove() {
    Random random(7);
    UpperQuartile quartile;
    int above = 0;
    int twice_above = 0;
    for (int i = 0; i < 2400; ++i) {
      const double extreme = random.Uniform() < 0.05 ? 50 : 1;
      const double value = extreme * (30 + 40 * random.Uniform());
      quartile.Add(value);
      if (i < 400) continue;
      above += quartile.IsAbove(value) ? 1 : 0;
      twice_above += quartile.IsAbove(2 * value) ? 1 : 0;
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(above), above >= 400 && above <= 600);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(twice_above), twice_above >= 1600);
  }

  // Guards against a verdict that rests on the first value.
  void NothingIsAboveTooFewValues() {
    UpperQuartile quartile;
    quartile.Add(10);
    CPPUNIT_ASSERT(!quartile.IsAbove(1000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpperQuartileTest);

}  // namespace bamboodock
