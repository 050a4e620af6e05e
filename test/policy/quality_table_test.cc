#include "bamboodock/policy/quality_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/policy/answer_check.h"
#include "bamboodock/policy/mean_token_probability.h"

namespace bamboodock {

class QualityTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QualityTableTest);
  CPPUNIT_TEST(RatingsOutweighPrior);
  CPPUNIT_TEST(WithoutRatingsMeanStaysAndUncertaintyGrows);
  CPPUNIT_TEST(NewPriorKeepsEvidence);
  CPPUNIT_TEST(CheckUsesTokenProbability);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { table_.SetPrior(key_, Ratio(0.9)); }

  // Guards against a configured quality that ratings never correct.
  void RatingsOutweighPrior() {
    const double before = table_.QualityOf(key_, now_).deviation.value();
    for (int i = 0; i < 200; ++i) table_.AddRating(key_, Ratio(i % 2 == 0 ? 1.0 : 0.0), now_);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.54, table_.QualityOf(key_, now_).mean.value(), 0.02);
    CPPUNIT_ASSERT(table_.QualityOf(key_, now_).deviation.value() < before);
  }

  // Guards against a jump back to the prior while the rating service is down.
  void WithoutRatingsMeanStaysAndUncertaintyGrows() {
    for (int i = 0; i < 200; ++i) table_.AddRating(key_, Ratio(1.0), now_);
    const Quality before = table_.QualityOf(key_, now_);
    const Quality after = table_.QualityOf(key_, now_ + std::chrono::hours(72));
    CPPUNIT_ASSERT_EQUAL(before.mean, after.mean);
    CPPUNIT_ASSERT(after.deviation > before.deviation);
  }

  // Guards against a publication that discards the ratings received so far.
  void NewPriorKeepsEvidence() {
    for (int i = 0; i < 200; ++i) table_.AddRating(key_, Ratio(0.0), now_);
    table_.SetPrior(key_, Ratio(0.9));
    CPPUNIT_ASSERT(table_.QualityOf(key_, now_).mean < Ratio(0.2));
  }

  // Guards against delivery of an empty or uncertain answer, and against a second call for every
  // request of an engine without log probabilities.
  void CheckUsesTokenProbability() {
    const AnswerCheck check(Ratio(0.8));
    MeanTokenProbability confident;
    confident.Add(0.0);
    MeanTokenProbability uncertain = confident;
    uncertain.Add(-3.0);
    CPPUNIT_ASSERT(check.Check({Tokens(5), confident.Mean()}) == AnswerVerdict::kAccept);
    CPPUNIT_ASSERT(check.Check({Tokens(5), uncertain.Mean()}) == AnswerVerdict::kEscalate);
    CPPUNIT_ASSERT(check.Check({Tokens(5), std::nullopt}) == AnswerVerdict::kAccept);
    CPPUNIT_ASSERT(check.Check({Tokens(0), confident.Mean()}) == AnswerVerdict::kEscalate);
  }

 private:
  const QualityKey key_{VersionId("v"), RequestKind("k"), false};
  QualityTable table_;
  MonotonicTime now_{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(QualityTableTest);

}  // namespace bamboodock
