#include "bamboodock/command/operator/operator_commands.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

#include "bamboodock/command/operator/publication_id.h"
#include "fakes/fake_entry_client.h"

namespace bamboodock {

class OperatorCommandsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorCommandsTest);
  CPPUNIT_TEST(SkipsUnreachableEntries);
  CPPUNIT_TEST(RetriesAfterALostAnswerWithTheSamePublication);
  CPPUNIT_TEST(RefusalAfterALostAnswerLeavesTheOutcomeUnknown);
  CPPUNIT_TEST(ReportsEachExitCode);
  CPPUNIT_TEST(ServerErrorWithoutRunStateMeansUnknownOutcome);
  CPPUNIT_TEST(SuccessStatusWithoutReceiptMeansUnknownOutcome);
  CPPUNIT_TEST(SendsNothingOnUsageError);
  CPPUNIT_TEST(EncodesEveryCommand);
  CPPUNIT_TEST(PublishSendsTheTextAsWritten);
  CPPUNIT_TEST(GeneratesDistinctPublicationIds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    client_ = FakeEntryClient();
    out_.str("");
    err_.str("");
  }

  // Guards against a command that fails because the first entry of the list is down.
  void SkipsUnreachableEntries() {
    client_.Answer(2, 200, kReceipt);
    CPPUNIT_ASSERT(Run({"drain", "west"}) == ExitCode::kOk);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, client_.calls().size());
    CPPUNIT_ASSERT(out_.str().find("epoch 8") != std::string::npos);
  }

  // Guards against a second publication after only the answer to the first was lost.
  void RetriesAfterALostAnswerWithTheSamePublication() {
    client_.LoseAnswer(1);
    client_.Answer(2, 200, kReceipt);
    CPPUNIT_ASSERT(Run({"drain", "west"}) == ExitCode::kOk);
    CPPUNIT_ASSERT_EQUAL(client_.calls()[0].request.body, client_.calls()[1].request.body);
  }

  // Guards against reporting "refused" for a command that an earlier entry, whose answer was lost,
  // may still carry out.
  void RefusalAfterALostAnswerLeavesTheOutcomeUnknown() {
    client_.LoseAnswer(1);
    client_.Answer(2, 503, R"({"error":{"message":"m","type":"not_fresh","run":"not_run"}})");
    CPPUNIT_ASSERT(Run({"drain", "west"}, true) == ExitCode::kOutcomeUnknown);
    CPPUNIT_ASSERT(out_.str().find(R"("run":"unknown")") != std::string::npos);
    CPPUNIT_ASSERT(err_.str().find("--publication=pub-1") != std::string::npos);
  }

  // Guards against exit codes from which a script cannot tell success and the failures apart.
  void ReportsEachExitCode() {
    CPPUNIT_ASSERT(Run({"drain", "west"}) == ExitCode::kUnreachable);
    client_.LoseAnswer(2);
    CPPUNIT_ASSERT(Run({"drain", "west"}) == ExitCode::kOutcomeUnknown);
    client_.Answer(1, 409,
                   R"({"error":{"message":"m","type":"publish_conflict","run":"not_run"},)"
                   R"("winner":"pub-9"})");
    CPPUNIT_ASSERT(Run({"drain", "west"}) == ExitCode::kConflict);
    CPPUNIT_ASSERT(err_.str().find("pub-9") != std::string::npos);
    client_.Answer(1, 422, R"({"errors":[{"object":"model a","field":"shares","message":"sum"}]})");
    CPPUNIT_ASSERT(Run({"drain", "west"}) == ExitCode::kRefused);
    CPPUNIT_ASSERT(err_.str().find("model a") != std::string::npos);
    client_.Answer(1, 502, R"({"error":{"message":"m","type":"outcome_unknown","run":"unknown"}})");
    CPPUNIT_ASSERT(Run({"drain", "west"}) == ExitCode::kOutcomeUnknown);
  }

  // Guards against reporting "not run" for a server error that does not state the run state.
  void ServerErrorWithoutRunStateMeansUnknownOutcome() {
    client_.Answer(1, 500, "broken");
    CPPUNIT_ASSERT(Run({"drain", "west"}) == ExitCode::kOutcomeUnknown);
    client_.Answer(1, 404, "no such page");
    CPPUNIT_ASSERT(Run({"drain", "west"}) == ExitCode::kRefused);
  }

  // Guards against reporting acceptance when a server answers 200 to any request.
  void SuccessStatusWithoutReceiptMeansUnknownOutcome() {
    for (const char* body : {"", "ok", "[]", R"({"publication":"pub-1"})"}) {
      client_.Answer(1, 200, body);
      CPPUNIT_ASSERT(Run({"drain", "west"}) == ExitCode::kOutcomeUnknown);
    }
  }

  // Guards against sending a mistyped command to the router.
  void SendsNothingOnUsageError() {
    using Arguments = std::vector<std::string>;
    for (const Arguments& arguments :
         {Arguments{}, Arguments{"drian", "west"}, Arguments{"drain"}, Arguments{"drain", "a", "b"},
          Arguments{"drain", "a b"}, Arguments{"withdraw", "model"}, Arguments{"withdraw", "m@v@w"},
          Arguments{"publish", "/nonexistent/set.json"}}) {
      CPPUNIT_ASSERT(Run(arguments) == ExitCode::kUsageError);
    }
    CPPUNIT_ASSERT(client_.calls().empty());
  }

  // Guards against a path or body that the operator API cannot decode.
  void EncodesEveryCommand() {
    client_.Answer(1, 200, kReceipt);
    Run({"drain", "west"});
    ExpectLastRequest("/commands/drain", R"({"availability_zone":"west","publication":"pub-1"})");
    Run({"restore", "west"});
    ExpectLastRequest("/commands/restore", R"({"availability_zone":"west","publication":"pub-1"})");
    Run({"withdraw", "m@v"});
    ExpectLastRequest("/commands/withdraw",
                      R"({"model":"m","publication":"pub-1","stage":"withdrawn","version":"v"})");
  }

  // Guards against an object set that is altered between the operator's file and the router's
  // check.
  void PublishSendsTheTextAsWritten() {
    client_.Answer(1, 200, kReceipt);
    CPPUNIT_ASSERT(Run({"publish", BAMBOODOCK_EXAMPLES "/emva.json"}) == ExitCode::kOk);
    const std::string& body = client_.calls().back().request.body;
    CPPUNIT_ASSERT(body.starts_with(R"({"publication":"pub-1","set":{)"));
    CPPUNIT_ASSERT(body.find(R"("rate": 40, "burst": 80)") != std::string::npos);
    CPPUNIT_ASSERT(IsJson(body));
  }

  // Guards against two operators whose publications get the same id.
  void GeneratesDistinctPublicationIds() {
    const auto generate_id = [] {
      return HandleFailure([] { return MakePublicationId(); },
                           [](const Failure& /*failure*/) { return PublicationId(); });
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{32}, generate_id().value().size());
    CPPUNIT_ASSERT(generate_id() != generate_id());
  }

 private:
  static constexpr const char* kReceipt =
      R"({"epoch":8,"publication":"pub-1","in_force":[{"process":"entry-1","epoch":8}]})";

  ExitCode Run(const std::vector<std::string>& arguments, bool json = false) {
    CommandSender sender(client_, {FakeEntryClient::Entry(1), FakeEntryClient::Entry(2)});
    CommandSettings settings;
    settings.publication = PublicationId("pub-1");
    settings.json = json;
    return OperatorCommands(sender, settings, out_, err_).Run(arguments);
  }

  void ExpectLastRequest(const std::string& path, const std::string& body) const {
    const HttpRequest& request = client_.calls().back().request;
    CPPUNIT_ASSERT_EQUAL(std::string("POST"), request.method);
    CPPUNIT_ASSERT_EQUAL(path, request.path);
    CPPUNIT_ASSERT_EQUAL(body, request.body);
  }

  FakeEntryClient client_;
  std::ostringstream out_;
  std::ostringstream err_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorCommandsTest);

}  // namespace bamboodock
