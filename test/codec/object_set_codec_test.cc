#include "bamboodock/codec/object_set_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/objects/object_set_diff.h"
#include "fakes/sample_object_set.h"

namespace bamboodock {
namespace {

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  CPPUNIT_ASSERT_MESSAGE("text does not contain " + from, at != std::string::npos);
  return text.replace(at, from.size(), to);
}

bool Contains(const std::vector<ObjectSetError>& errors, const std::string& object,
              const std::string& field) {
  for (const ObjectSetError& error : errors) {
    if (error.object == object && error.field == field) return true;
  }
  return false;
}

}  // namespace

class ObjectSetCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObjectSetCodecTest);
  CPPUNIT_TEST(RoundTripKeepsEveryField);
  CPPUNIT_TEST(EqualSetsGiveEqualTexts);
  CPPUNIT_TEST(CollectsEveryErrorWithObjectAndField);
  CPPUNIT_TEST(RejectsNumbersOutOfRange);
  CPPUNIT_TEST(RejectsRepeatedFields);
  CPPUNIT_TEST(TruncatedTextGivesOneError);
  CPPUNIT_TEST(OversizedTextGivesOneError);
  CPPUNIT_TEST(LimitsTheNumberOfErrors);
  CPPUNIT_TEST(RejectsDeepNesting);
  CPPUNIT_TEST(RejectsLongStrings);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a field that is written but not read, or the reverse.
  void RoundTripKeepsEveryField() {
    SampleObjectSet sample;
    sample.account.rate = RequestRate(2.5);
    sample.account.priority = 3;
    sample.expensive.stage = VersionStage::kNoNewSessions;
    sample.zone.drained = true;
    sample.engine.checks_fencing = true;
    sample.cascade.max_steps = StepNumber(3);
    const Ref<const ObjectSet> set = sample.Build();
    const DecodedObjectSet decoded = DecodeObjectSet(EncodeObjectSet(*set));
    CPPUNIT_ASSERT(decoded.errors.empty());
    CPPUNIT_ASSERT(DiffObjectSets(*set, *decoded.set).empty());
    CPPUNIT_ASSERT(decoded.set->Find(AvailabilityZoneId("west"))->drained);
    CPPUNIT_ASSERT_EQUAL(2.5, decoded.set->accounts().at(0).rate.value());
  }

  // Guards against different hashes of the same set in different processes.
  void EqualSetsGiveEqualTexts() {
    const std::string text = EncodeObjectSet(*SampleObjectSet().Build());
    CPPUNIT_ASSERT_EQUAL(text, EncodeObjectSet(*DecodeObjectSet(text).set));
  }

  // Guards against a decoder that stops at the first error, so that an operator has to publish once
  // per error.
  void CollectsEveryErrorWithObjectAndField() {
    std::string text = EncodeObjectSet(*SampleObjectSet().Build());
    text = Replace(text, R"("drained":false)", R"("drained":"no","colour":1)");
    text = Replace(text, R"("kind":"engine")", R"("kind":"motor")");
    text = Replace(text, R"("share":0.9)", R"("share":"0.9")");
    text = Replace(text, R"("cost_per_1k_prompt":100)", R"("cost_per_1k_prompt":1.5)");
    text = Replace(text, R"("id":"summary-auto",)", "");
    const DecodedObjectSet decoded = DecodeObjectSet(text);
    CPPUNIT_ASSERT(decoded.set == nullptr);
    CPPUNIT_ASSERT(Contains(decoded.errors, "availability_zone west", "drained"));
    CPPUNIT_ASSERT(Contains(decoded.errors, "availability_zone west", "colour"));
    CPPUNIT_ASSERT(Contains(decoded.errors, "endpoint engine-1", "kind"));
    CPPUNIT_ASSERT(Contains(decoded.errors, "model summary", "shares[0].share"));
    CPPUNIT_ASSERT(Contains(decoded.errors, "version summary@summary-1", "cost_per_1k_prompt"));
    CPPUNIT_ASSERT(Contains(decoded.errors, "cascade #0", "id"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, decoded.errors.size());
  }

  // Guards against numbers that wrap when stored in a smaller or unsigned type.
  void RejectsNumbersOutOfRange() {
    const std::string text = EncodeObjectSet(*SampleObjectSet().Build());
    for (const char* number : {"-1", "0", "4294967297", "18446744073709551617", "1e400"}) {
      const DecodedObjectSet decoded = DecodeObjectSet(
          Replace(text, R"("warm_limit":32)", std::string(R"("warm_limit":)") + number));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(number, std::size_t{1}, decoded.errors.size());
    }
  }

  // Guards against a repeated field whose first value is silently ignored.
  void RejectsRepeatedFields() {
    const std::string text = EncodeObjectSet(*SampleObjectSet().Build());
    const DecodedObjectSet decoded =
        DecodeObjectSet(Replace(text, R"("drained":false)", R"("drained":true,"drained":false)"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decoded.errors.size());
    CPPUNIT_ASSERT(Contains(decoded.errors, "set", "drained"));
  }

  // Guards against a partial read of the store that is accepted as a smaller set.
  void TruncatedTextGivesOneError() {
    const std::string text = EncodeObjectSet(*SampleObjectSet().Build());
    for (std::size_t length = 0; length < text.size(); ++length) {
      const DecodedObjectSet decoded = DecodeObjectSet(text.substr(0, length));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decoded.errors.size());
      CPPUNIT_ASSERT(decoded.errors[0].message.starts_with("JSON text is truncated"));
    }
  }

  // Guards against memory exhaustion by one message.
  void OversizedTextGivesOneError() {
    const DecodedObjectSet decoded = DecodeObjectSet(std::string(kMaxObjectSetBytes + 1, ' '));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decoded.errors.size());
  }

  // Guards against an error list that is much larger than the text.
  void LimitsTheNumberOfErrors() {
    std::string text = R"({"accounts":[0)";
    // Many small objects also guard against a parser that takes quadratic time.
    for (int i = 0; i < 500000; ++i) text += ",{}";
    text += R"(],"models":[],"versions":[],"cascades":[],"availability_zones":[],"endpoints":[]})";
    CPPUNIT_ASSERT_EQUAL(kMaxObjectSetErrors + 1, DecodeObjectSet(text).errors.size());
  }

  // Guards against memory spent on values that no field can hold.
  void RejectsDeepNesting() {
    const std::string deep = std::string(100000, '[') + std::string(100000, ']');
    const DecodedObjectSet decoded = DecodeObjectSet(deep);
    CPPUNIT_ASSERT(decoded.set == nullptr);
    CPPUNIT_ASSERT(!decoded.errors.empty());
  }

  // Guards against one long id that is repeated in the messages of thousands of errors.
  void RejectsLongStrings() {
    SampleObjectSet sample;
    sample.zone.id = AvailabilityZoneId(std::string(100000, 'z'));
    const DecodedObjectSet decoded = DecodeObjectSet(EncodeObjectSet(*sample.Build()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decoded.errors.size());
    CPPUNIT_ASSERT(decoded.errors[0].object.size() < 200);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectSetCodecTest);

}  // namespace bamboodock
