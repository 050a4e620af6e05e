#include "bamboodock/query/operator/operator_queries.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

#include "bamboodock/codec/object_set_codec.h"
#include "bamboodock/objects/version_withdrawal.h"
#include "fakes/fake_entry_client.h"
#include "fakes/sample_object_set.h"

namespace bamboodock {

class OperatorQueriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorQueriesTest);
  CPPUNIT_TEST(QueriesTheNextEntryAfterALostAnswer);
  CPPUNIT_TEST(ReportsEachExitCode);
  CPPUNIT_TEST(CheckNeedsNoEntry);
  CPPUNIT_TEST(ShowFindsEveryKind);
  CPPUNIT_TEST(DiffShowsFieldsWithBothValues);
  CPPUNIT_TEST(TimelineEncodesTheRequestAndStripsControlCharacters);
  CPPUNIT_TEST(MalformedAnswersAreErrors);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    client_ = FakeEntryClient();
    request_ = RequestId();
    ClearOutput();
  }

  // Guards against a query that fails while another entry could answer it.
  void QueriesTheNextEntryAfterALostAnswer() {
    client_.LoseAnswer(1);
    client_.Answer(2, 200,
                   R"({"process":"entry-2","epoch":7,"publication":"p","fresh":true,)"
                   R"("freshness_ms":20,"pending":[],"endpoints":[{"id":"e1","state":"cold"}],)"
                   R"("accounts":[]})");
    CPPUNIT_ASSERT(Run({"status"}) == ExitCode::kOk);
    CPPUNIT_ASSERT(out_.str().find("entry-2") != std::string::npos);
    CPPUNIT_ASSERT(out_.str().find("cold") != std::string::npos);
  }

  // Guards against exit codes from which a script cannot tell a refusal from an outage.
  void ReportsEachExitCode() {
    CPPUNIT_ASSERT(Run({"status"}) == ExitCode::kUnreachable);
    CPPUNIT_ASSERT(Run({"status", "extra"}) == ExitCode::kUsageError);
    CPPUNIT_ASSERT(Run({"stauts"}) == ExitCode::kUsageError);
    CPPUNIT_ASSERT(Run({}) == ExitCode::kUsageError);
    client_.Answer(1, 503, R"({"error":{"message":"none yet","type":"no_configuration"}})");
    CPPUNIT_ASSERT(Run({"show", "model", "m"}) == ExitCode::kRefused);
    CPPUNIT_ASSERT(err_.str().find("none yet") != std::string::npos);
    client_.Answer(1, 502, R"({"error":{"message":"m","type":"connection_failed"}})");
    CPPUNIT_ASSERT(Run({"status"}) == ExitCode::kRefused);
  }

  // Guards against a check that cannot run on a host without access to the router.
  void CheckNeedsNoEntry() {
    CPPUNIT_ASSERT(Run({"check", BAMBOODOCK_EXAMPLES "/emva.json"}) == ExitCode::kOk);
    CPPUNIT_ASSERT(Run({"check", BAMBOODOCK_EXAMPLES "/README.md"}) == ExitCode::kRefused);
    CPPUNIT_ASSERT(Run({"check", "/nonexistent/set.json"}) == ExitCode::kUsageError);
    CPPUNIT_ASSERT(client_.calls().empty());
  }

  // Guards against an object kind that `show` does not find.
  void ShowFindsEveryKind() {
    client_.Answer(1, 200, EncodeObjectSet(*SampleObjectSet().Build()));
    using Arguments = std::vector<std::string>;
    for (const Arguments& arguments :
         {Arguments{"show", "account", "port-office"}, Arguments{"show", "model", "summary"},
          Arguments{"show", "version", "summary@summary-1"},
          Arguments{"show", "cascade", "summary-auto"},
          Arguments{"show", "availability_zone", "west"},
          Arguments{"show", "endpoint", "engine-1"}}) {
      ClearOutput();
      CPPUNIT_ASSERT_MESSAGE(arguments[1], Run(arguments) == ExitCode::kOk);
      CPPUNIT_ASSERT(out_.str().find("id") != std::string::npos);
    }
    CPPUNIT_ASSERT(Run({"show", "endpoint", "absent"}) == ExitCode::kRefused);
    CPPUNIT_ASSERT(Run({"show", "machine", "west"}) == ExitCode::kRefused);
  }

  // Guards against a diff that does not show what a publication would change.
  void DiffShowsFieldsWithBothValues() {
    std::ifstream example(BAMBOODOCK_EXAMPLES "/emva.json");
    std::stringstream text;
    text << example.rdbuf();
    const auto before = DecodeObjectSet(text.str()).set;
    const auto withdrawn = WithVersionStage(*before, ModelId("respuesta"),
                                            VersionId("respuesta-4b-4"), VersionStage::kWithdrawn);
    client_.Answer(1, 200, EncodeObjectSet(*withdrawn));
    CPPUNIT_ASSERT(Run({"diff", BAMBOODOCK_EXAMPLES "/emva.json"}, true) == ExitCode::kOk);
    CPPUNIT_ASSERT(out_.str().find(R"({"after":"active","before":"withdrawn","field":"stage"})") !=
                   std::string::npos);
    ClearOutput();
    client_.Answer(1, 200, EncodeObjectSet(*before));
    CPPUNIT_ASSERT(Run({"diff", BAMBOODOCK_EXAMPLES "/emva.json"}) == ExitCode::kOk);
    CPPUNIT_ASSERT_EQUAL(std::string("no differences\n"), out_.str());
  }

  // Guards against a request id that alters the query string, and against control characters in
  // callers' text that reach the operator's terminal.
  void TimelineEncodesTheRequestAndStripsControlCharacters() {
    request_ = RequestId("a&b=c d");
    client_.Answer(1, 200,
                   R"({"events":[{"at_us":1764835200000123,"process":"entry-1","event":101,)"
                   R"("name":"accepted","request":"r","detail":"\u001b[31m"}]})");
    CPPUNIT_ASSERT(Run({"timeline"}) == ExitCode::kOk);
    CPPUNIT_ASSERT_EQUAL(std::string("request=a%26b%3Dc%20d"), client_.calls()[0].request.query);
    CPPUNIT_ASSERT(out_.str().find("2025-12-04T08:00:00.000123Z") != std::string::npos);
    CPPUNIT_ASSERT(out_.str().find('\x1b') == std::string::npos);
  }

  // Guards against printing an empty table for an answer that cannot be decoded.
  void MalformedAnswersAreErrors() {
    for (const char* body : {"", "[]", "{", R"({"events":3})"}) {
      client_.Answer(1, 200, body);
      CPPUNIT_ASSERT(Run({"timeline"}) == ExitCode::kRefused);
      CPPUNIT_ASSERT(Run({"show", "model", "m"}) == ExitCode::kRefused);
    }
  }

 private:
  ExitCode Run(const std::vector<std::string>& arguments, bool json = false) {
    QuerySender sender(client_, {FakeEntryClient::Entry(1), FakeEntryClient::Entry(2)});
    return OperatorQueries(sender, {request_, json}, out_, err_).Run(arguments);
  }

  void ClearOutput() {
    out_.str("");
    err_.str("");
  }

  FakeEntryClient client_;
  RequestId request_;
  std::ostringstream out_;
  std::ostringstream err_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorQueriesTest);

}  // namespace bamboodock
