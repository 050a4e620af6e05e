#include "bamboodock/replay/replayer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace bamboodock {

namespace {

constexpr char kHeader[] = R"({"rule":"stream","settings":{"attempt":"a"}})";
constexpr char kChunk[] = R"({"time":0,"process":"e","event":"chunk","attempt":"a","seq":0})";

std::string ReplaySummary(const std::string& text) {
  return HandleFailure(
      [&]() -> Result<std::string> {
        std::istringstream in(text);
        BOOST_LEAF_AUTO(trace, ReadTrace(in));
        Result<ReplayReport> result = Replay(trace);
        if (!result) return result.error();
        const ReplayReport& report = *result;
        std::string summary = std::to_string(report.expectations) + " expectations";
        for (const TraceMismatch& mismatch : report.mismatches) {
          summary += "; line " + std::to_string(mismatch.line) + ": " + mismatch.expected +
                     " != " + mismatch.actual;
        }
        return summary;
      },
      [](const Failure& failure) { return failure.detail; });
}

std::string JoinLines(const std::string& first, const std::string& second,
                      const std::string& third = "") {
  return first + "\n" + second + "\n" + third + "\n";
}

std::string ReturnedRowLine(const std::string& process, const std::string& event,
                            const std::string& key) {
  return R"({"time":0,"process":")" + process + R"(","event":")" + event + R"(","key":")" + key +
         R"(","revision":7,"value":"v"})";
}

}  // namespace

class ReplayerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplayerTest);
  CPPUNIT_TEST(MismatchIsReportedWithLine);
  CPPUNIT_TEST(UnknownEventFails);
  CPPUNIT_TEST(MalformedNumberFails);
  CPPUNIT_TEST(MalformedLineFails);
  CPPUNIT_TEST(ReturnedRowIsJudgedByTheWritesOfItsKeyAndProcess);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a replay that passes although a rule's outcome differs from the expectation.
  void MismatchIsReportedWithLine() {
    CPPUNIT_ASSERT_EQUAL(std::string("1 expectations; line 3: ignore != deliver"),
                         ReplaySummary(JoinLines(kHeader, kChunk, R"({"expect":"ignore"})")));
    CPPUNIT_ASSERT_EQUAL(std::string("1 expectations"),
                         ReplaySummary(JoinLines(kHeader, kChunk, R"({"expect":"deliver"})")));
  }

  // Guards against a misspelt event that is skipped silently.
  void UnknownEventFails() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("line 2: error: unknown event \"chunks\""),
        ReplaySummary(JoinLines(kHeader, R"({"time":0,"process":"e","event":"chunks"})")));
  }

  // Guards against a malformed number that is read as zero.
  void MalformedNumberFails() {
    const char* line = R"({"time":0,"process":"e","event":"chunk","attempt":"a","seq":"x"})";
    CPPUNIT_ASSERT_EQUAL(std::string("line 2: error: field \"seq\" is not a number"),
                         ReplaySummary(JoinLines(kHeader, line)));
  }

  // Guards against a truncated or empty trace that is accepted as replayed.
  void MalformedLineFails() {
    CPPUNIT_ASSERT_EQUAL(std::string("line 2: not a JSON object"),
                         ReplaySummary(JoinLines(kHeader, R"({"time":0,"pro)")));
    CPPUNIT_ASSERT_EQUAL(std::string("line 1: the header is missing"), ReplaySummary(""));
  }

  // Guards against a replay of the store's return that judges a row by the writes of another row,
  // or of another entry.
  void ReturnedRowIsJudgedByTheWritesOfItsKeyAndProcess() {
    const std::string known =
        JoinLines(R"({"rule":"returned_row"})", ReturnedRowLine("e1", "write", "k1"));
    const auto judge = [&](const std::string& process, const std::string& key,
                           const std::string& verdict) {
      return ReplaySummary(known + JoinLines(ReturnedRowLine(process, "judge", key),
                                             R"({"expect":")" + verdict + R"("})"));
    };
    CPPUNIT_ASSERT_EQUAL(std::string("1 expectations"), judge("e1", "k1", "survived"));
    CPPUNIT_ASSERT_EQUAL(std::string("1 expectations"), judge("e1", "k2", "newer"));
    CPPUNIT_ASSERT_EQUAL(std::string("1 expectations"), judge("e2", "k1", "newer"));
    CPPUNIT_ASSERT_EQUAL(std::string("1 expectations; line 5: outdated != survived"),
                         judge("e1", "k1", "outdated"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplayerTest);

}  // namespace bamboodock
