#include <cppunit/extensions/HelperMacros.h>

#include "fakes/standin_server.h"

namespace bamboodock::standin {

using nlohmann::json;

class ServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServiceTest);
  CPPUNIT_TEST(EveryCallRunsAndIsCounted);
  CPPUNIT_TEST(CallWithLostAnswerIsCounted);
  CPPUNIT_TEST(FailedCallDidNotRun);
  CPPUNIT_TEST(LookUpsAreDeterministic);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a run counter that hides a second run with the same key.
  void EveryCallRunsAndIsCounted() {
    const json first = json::parse(Issue("k1").body);
    const json second = json::parse(Issue("k1").body);
    CPPUNIT_ASSERT(first["number"] != second["number"]);
    CPPUNIT_ASSERT_EQUAL(3, first["body"]["lot"].get<int>());
    CPPUNIT_ASSERT_EQUAL(2, Runs("k1"));
  }

  // Guards against a run that is not counted because its answer was lost; a second run would then
  // go unnoticed.
  void CallWithLostAnswerIsCounted() {
    server_.Post("/faults", {{"mode", "lose_answer"}, {"count", 1}});
    CPPUNIT_ASSERT_EQUAL(0, Issue("k1").status);
    CPPUNIT_ASSERT_EQUAL(1, Runs("k1"));
    CPPUNIT_ASSERT_EQUAL(200, Issue("k1").status);
  }

  // Guards against a run that is counted for a call that failed before it was processed.
  void FailedCallDidNotRun() {
    server_.Post("/faults", {{"mode", "fail"}, {"count", 1}});
    CPPUNIT_ASSERT_EQUAL(500, Issue("k1").status);
    CPPUNIT_ASSERT_EQUAL(0, Runs("k1"));
  }

  // Guards against look-ups whose results differ between repetitions, or do not depend on the id.
  void LookUpsAreDeterministic() {
    CPPUNIT_ASSERT(server_.Get("/lots/12") == server_.Get("/lots/12"));
    CPPUNIT_ASSERT(server_.Get("/cases/12") != server_.Get("/cases/13"));
  }

 private:
  HttpResponse Issue(const std::string& key) const {
    HttpRequest request;
    request.method = "POST";
    request.path = "/labels";
    request.headers = {{"Idempotency-Key", key}};
    request.body = R"({"lot":3})";
    return server_.Send(request);
  }

  int Runs(const std::string& key) const { return server_.Get("/counters")["runs"].value(key, 0); }

  StandinServer server_{MakeService({}, Seed(7))};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceTest);

}  // namespace bamboodock::standin
