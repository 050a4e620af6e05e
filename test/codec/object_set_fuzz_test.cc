#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

#include "bamboodock/codec/object_set_codec.h"
#include "bamboodock/objects/object_set_checker.h"
#include "fakes/sample_object_set.h"

namespace bamboodock {

class ObjectSetFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObjectSetFuzzTest);
  CPPUNIT_TEST(MutatedTextGivesSetOrErrors);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a crash of every process that reads a damaged set, and against a decoder that
  // returns neither a set nor a reason, or both.
  void MutatedTextGivesSetOrErrors() {
    constexpr unsigned kSeed = 20261204;
    constexpr int kRounds = 5000;
    std::mt19937 random(kSeed);
    const std::string original = EncodeObjectSet(*SampleObjectSet().Build());
    int sets = 0;
    for (int round = 0; round < kRounds; ++round) {
      const std::string text = Mutate(original, random);
      const DecodedObjectSet decoded = DecodeObjectSet(text);
      CPPUNIT_ASSERT_MESSAGE(text, (decoded.set != nullptr) == decoded.errors.empty());
      for (const ObjectSetError& error : decoded.errors) {
        CPPUNIT_ASSERT(!error.object.empty() && !error.message.empty());
      }
      if (decoded.set == nullptr) continue;
      ++sets;
      CheckObjectSet(*decoded.set);
      const std::string encoded = EncodeObjectSet(*decoded.set);
      CPPUNIT_ASSERT_EQUAL(encoded, EncodeObjectSet(*DecodeObjectSet(encoded).set));
    }
    // Mutations that never or always decode would test only one of the two outcomes.
    CPPUNIT_ASSERT(sets > 0 && sets < kRounds);
  }

 private:
  static std::size_t Below(std::size_t limit, std::mt19937& random) { return random() % limit; }

  /// Applies one to four changes of bytes, ranges or JSON tokens.
  static std::string Mutate(std::string text, std::mt19937& random) {
    const std::vector<std::string> tokens{"null",        "-1",      "1e400", "18446744073709551616",
                                          "[]",          "{}",      "[[",    "\"\"",
                                          "\"\\ud800\"", "true",    ",",     "0.5",
                                          "\xff",        "\"id\":", "}"};
    const std::size_t changes = 1 + Below(4, random);
    for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
      const std::size_t at = Below(text.size(), random);
      const std::size_t length = Below(std::min<std::size_t>(40, text.size() - at) + 1, random);
      switch (Below(5, random)) {
        case 0:
          text[at] = static_cast<char>(Below(256, random));
          break;
        case 1:
          text.erase(at, length);
          break;
        case 2:
          text.insert(at, text.substr(at, length));
          break;
        case 3:
          text.replace(at, Below(6, random), tokens[Below(tokens.size(), random)]);
          break;
        default:
          ReplaceValue(text, at, tokens[Below(tokens.size(), random)]);
          break;
      }
    }
    return text;
  }

  /// Replaces the value after the next colon, which often leaves valid JSON.
  static void ReplaceValue(std::string& text, std::size_t at, const std::string& token) {
    const std::size_t colon = text.find(':', at);
    if (colon == std::string::npos) return;
    const std::size_t end = text.find_first_of(",}]", colon);
    if (end != std::string::npos) text.replace(colon + 1, end - colon - 1, token);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectSetFuzzTest);

}  // namespace bamboodock
