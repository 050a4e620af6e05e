#include "bamboodock/stores/http_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include "fakes/standin_server.h"

namespace bamboodock {

class HttpTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpTableTest);
  CPPUNIT_TEST(SecondCommitAgainstSameVersionConflicts);
  CPPUNIT_TEST(LostAnswerIsReportedAndWriteIsApplied);
  CPPUNIT_TEST(CommitDuringOutageIsNotApplied);
  CPPUNIT_TEST(RefusedConnectionIsUnavailable);
  CPPUNIT_TEST(SilentPlatformIsAnswerLost);
  CPPUNIT_TEST(ScanReturnsPrefixInKeyOrder);
  CPPUNIT_TEST(ReadDoesNotConsumeInjectedFault);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    server_ = std::make_unique<StandinServer>(standin::MakePlatform({}, clock_));
    table_ = std::make_unique<HttpTable>(server_->address(), std::chrono::seconds(20));
  }
  void tearDown() override { server_.reset(); }

  // Guards against two writers that both win the same epoch or claim.
  void SecondCommitAgainstSameVersionConflicts() {
    const TableTransaction insert{{{"head", RowVersion()}}, {{"head", "a\"é"}}, {}};
    CPPUNIT_ASSERT(Commit(insert) == ResultCode::kOk);
    CPPUNIT_ASSERT(Commit(insert) == ResultCode::kStoreConflict);
    CPPUNIT_ASSERT_EQUAL(std::string("a\"é"), Value("head"));
  }

  // Guards against reporting a write as not applied when only its answer was lost.
  void LostAnswerIsReportedAndWriteIsApplied() {
    SetFault("lose_answer");
    CPPUNIT_ASSERT(Commit({{}, {{"claims/a b/k&1", "x"}}, {}}) == ResultCode::kStoreAnswerLost);
    CPPUNIT_ASSERT_EQUAL(std::string("x"), Value("claims/a b/k&1"));
  }

  // Guards against a claim that stays in the table although its commit was refused.
  void CommitDuringOutageIsNotApplied() {
    SetFault("down");
    CPPUNIT_ASSERT(Commit({{}, {{"k", "x"}}, {}}) == ResultCode::kStoreUnavailable);
    CPPUNIT_ASSERT_EQUAL(std::string(), Value("k"));
  }

  // Guards against an unknown outcome when the connection failed and nothing was sent.
  void RefusedConnectionIsUnavailable() {
    constexpr std::uint16_t kUnusedPort = 1;
    table_ =
        std::make_unique<HttpTable>(Address{"127.0.0.1", kUnusedPort}, std::chrono::seconds(20));
    CPPUNIT_ASSERT(Commit({{}, {{"k", "x"}}, {}}) == ResultCode::kStoreUnavailable);
  }

  // Guards against reporting a request as not applied that a silent platform may still apply.
  void SilentPlatformIsAnswerLost() {
    SetFault("freeze");
    table_ = std::make_unique<HttpTable>(server_->address(), std::chrono::milliseconds(50));
    CPPUNIT_ASSERT(Commit({{}, {{"k", "x"}}, {}}) == ResultCode::kStoreAnswerLost);
  }

  // Guards against rows outside the prefix or out of key order.
  void ScanReturnsPrefixInKeyOrder() {
    CPPUNIT_ASSERT(Commit({{}, {{"b/2", ""}, {"b/1", ""}, {"c", ""}, {"a", ""}}, {}}) ==
                   ResultCode::kOk);
    const std::string keys = HandleFailure(
        [&]() -> Result<std::string> {
          BOOST_LEAF_AUTO(rows, table_->Scan("b/", 10));
          std::string text;
          for (const TableRow& row : rows) text += row.key + " ";
          return text;
        },
        [](const Failure& failure) { return failure.detail; });
    CPPUNIT_ASSERT_EQUAL(std::string("b/1 b/2 "), keys);
  }

  // Guards against a background read that consumes the fault injected for a write.
  void ReadDoesNotConsumeInjectedFault() {
    SetFault("lose_answer");
    CPPUNIT_ASSERT_EQUAL(std::string(), Value("k"));
    CPPUNIT_ASSERT(Commit({{}, {{"k", "x"}}, {}}) == ResultCode::kStoreAnswerLost);
  }

 private:
  void SetFault(const std::string& mode) const {
    const auto response =
        server_->Post("/faults", {{"target", "table"}, {"mode", mode}, {"count", 1}});
    CPPUNIT_ASSERT_EQUAL(200, response.status);
  }

  ResultCode Commit(const TableTransaction& transaction) {
    return HandleFailure(
        [&]() -> Result<ResultCode> {
          BOOST_LEAF_CHECK(table_->Commit(transaction));
          return ResultCode::kOk;
        },
        [](const Failure& failure) { return failure.code; });
  }

  /// Value of a row; empty when absent.
  std::string Value(const std::string& key) {
    return HandleFailure(
        [&]() -> Result<std::string> {
          BOOST_LEAF_AUTO(row, table_->Read(key));
          return row ? row->value : std::string();
        },
        [](const Failure& failure) { return "failed: " + failure.detail; });
  }

  SystemClock clock_;
  std::unique_ptr<StandinServer> server_;
  std::unique_ptr<HttpTable> table_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTableTest);

}  // namespace bamboodock
