#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <thread>

#include "fakes/standin_server.h"

namespace bamboodock::standin {

using nlohmann::json;

class EngineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineTest);
  CPPUNIT_TEST(StreamedAndUnstreamedAnswersMatch);
  CPPUNIT_TEST(BadAnswerIsMarkedAndHasLowLogprobs);
  CPPUNIT_TEST(ColdEngineFailsAboveItsLimit);
  CPPUNIT_TEST(EngineWarmsUpAndTurnsCold);
  CPPUNIT_TEST(StreamsBeyondTheBatchAreQueued);
  CPPUNIT_TEST(CutStreamHasNoEndMarker);
  CPPUNIT_TEST(CallerDisconnectCancelsGeneration);
  CPPUNIT_TEST(OldFencingNumberIsRefused);
  CPPUNIT_TEST(UnknownVersionIsNotServed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a streamed answer whose text differs from that of the unstreamed one.
  void StreamedAndUnstreamedAnswersMatch() {
    const StandinServer server(MakeEngine(Fast(), Seed(7), clock_));
    const json unstreamed = json::parse(server.Post(kChat, Request("good", 5, false)).body);
    const std::string text = unstreamed["choices"][0]["message"]["content"];
    const std::string stream = server.Post(kChat, Request("good", 5, true)).body;
    CPPUNIT_ASSERT_EQUAL(text, StreamText(stream));
    CPPUNIT_ASSERT(stream.ends_with("data: [DONE]\n\n"));
    CPPUNIT_ASSERT_EQUAL(5, unstreamed["usage"]["completion_tokens"].get<int>());
  }

  // Guards against bad answers that a cascade cannot tell from good ones.
  void BadAnswerIsMarkedAndHasLowLogprobs() {
    const StandinServer server(MakeEngine(Fast(), Seed(7), clock_));
    const json bad = json::parse(server.Post(kChat, Request("bad", 5, false)).body);
    CPPUNIT_ASSERT(Text(bad).starts_with("[wrong]"));
    CPPUNIT_ASSERT(Logprob(bad) < -1.0);
    const json good = json::parse(server.Post(kChat, Request("good", 5, false)).body);
    CPPUNIT_ASSERT(!Text(good).starts_with("[wrong]"));
    CPPUNIT_ASSERT(Logprob(good) > -0.2);
    server.Post("/faults", {{"mode", "wrong"}, {"ratio", 1.0}});
    const json faulty = json::parse(server.Post(kChat, Request("good", 5, false)).body);
    CPPUNIT_ASSERT(Text(faulty).starts_with("[wrong]"));
  }

  // Guards against a cold engine that accepts full load, which would let a test of the traffic ramp
  // pass without a ramp.
  void ColdEngineFailsAboveItsLimit() {
    const StandinServer server(
        MakeEngine(LongRunning().ColdStart(100, 1.0, Concurrency(2)), Seed(7), clock_));
    const auto first = OpenStream(server);
    const auto second = OpenStream(server);
    CPPUNIT_ASSERT_EQUAL(503, server.Post(kChat, Request("good", 1, false)).status);
    const json counters = server.Get("/counters");
    CPPUNIT_ASSERT_EQUAL(1, counters["cold_overloads"].get<int>());
    CPPUNIT_ASSERT_EQUAL(3, counters["max_running_cold"].get<int>());
  }

  // Guards against an engine that stays cold after its warm-up requests, and against a `cold` fault
  // without effect.
  void EngineWarmsUpAndTurnsCold() {
    const StandinServer server(
        MakeEngine(Fast().ColdStart(1, 1.0, Concurrency(0)), Seed(7), clock_));
    CPPUNIT_ASSERT_EQUAL(503, server.Post(kChat, Request("good", 1, false)).status);
    const StandinServer warming(
        MakeEngine(Fast().ColdStart(1, 1.0, Concurrency(1)), Seed(7), clock_));
    CPPUNIT_ASSERT_EQUAL(200, warming.Post(kChat, Request("good", 1, false)).status);
    CPPUNIT_ASSERT(WaitFor([&] { return warming.Get("/load")["warm"] == true; }));
    warming.Post("/faults", {{"mode", "cold"}});
    CPPUNIT_ASSERT(WaitFor([&] { return warming.Get("/load")["warm"] == false; }));
  }

  // Guards against an engine that runs more streams than its batch allows.
  void StreamsBeyondTheBatchAreQueued() {
    const StandinServer server(MakeEngine(LongRunning().Batch(Concurrency(1)), Seed(7), clock_));
    auto first = OpenStream(server);
    std::thread waiting([&] { server.Post(kChat, Request("good", 1, false)); });
    const bool queued = WaitFor([&] { return server.Get("/load")["queued"] == 1; });
    first.reset();
    waiting.join();
    CPPUNIT_ASSERT(queued);
    CPPUNIT_ASSERT_EQUAL(1, server.Get("/counters")["max_running"].get<int>());
  }

  // Guards against an end marker on a stream that a fault has cut.
  void CutStreamHasNoEndMarker() {
    const StandinServer server(MakeEngine(Fast(), Seed(7), clock_));
    server.Post("/faults", {{"mode", "cut"}, {"after_chunks", 2}, {"count", 1}});
    const auto stream = OpenStream(server, 5);
    std::string line;
    int chunks = 1;
    while (stream->ReadLine(line)) {
      if (line.starts_with("data: ")) ++chunks;
      CPPUNIT_ASSERT(line != "data: [DONE]");
    }
    CPPUNIT_ASSERT_EQUAL(2, chunks);
    CPPUNIT_ASSERT_EQUAL(200, server.Post(kChat, Request("good", 1, false)).status);
  }

  // Guards against a generation that occupies the batch after its caller has disconnected.
  void CallerDisconnectCancelsGeneration() {
    const StandinServer server(MakeEngine(LongRunning(), Seed(7), clock_));
    OpenStream(server).reset();
    CPPUNIT_ASSERT(WaitFor([&] { return server.Get("/counters")["cancelled"] == 1; }));
  }

  // Guards against an order of an earlier lease holder that takes effect although fencing is
  // checked.
  void OldFencingNumberIsRefused() {
    for (const bool check : {true, false}) {
      const StandinServer server(MakeEngine(Fast().CheckFencing(check), Seed(7), clock_));
      const json load{{"fencing", 5}, {"action", "load"}, {"version", "new"}};
      const json unload{{"fencing", 4}, {"action", "unload"}, {"version", "new"}};
      CPPUNIT_ASSERT_EQUAL(200, server.Post("/orders", load).status);
      CPPUNIT_ASSERT_EQUAL(check ? 409 : 200, server.Post("/orders", unload).status);
      const json versions = server.Get("/state")["versions"];
      CPPUNIT_ASSERT_EQUAL(std::size_t{check ? 3U : 2U}, versions.size());
    }
  }

  // Guards against an answer for a version that the engine has not loaded.
  void UnknownVersionIsNotServed() {
    const StandinServer server(MakeEngine(Fast(), Seed(7), clock_));
    CPPUNIT_ASSERT_EQUAL(404, server.Post(kChat, Request("other", 1, false)).status);
  }

 private:
  static constexpr const char* kChat = "/v1/chat/completions";

  static EngineSettings Fast() {
    return EngineSettings()
        .Versions({{VersionId("good"), Ratio(1.0)}, {VersionId("bad"), Ratio(0.0)}})
        .FirstTokenTime(Duration(0))
        .TokenTime(std::chrono::milliseconds(1))
        .LoadLag(std::chrono::milliseconds(10));
  }
  /// Settings with which streams of `kLongRunningTokens` outlast any test.
  static EngineSettings LongRunning() { return Fast().TokenTime(std::chrono::milliseconds(5)); }
  static constexpr int kLongRunningTokens = 100000;

  static json Request(const std::string& version, int tokens, bool stream) {
    return {{"model", version},
            {"max_tokens", tokens},
            {"stream", stream},
            {"logprobs", true},
            {"messages", json::array({{{"role", "user"}, {"content", "¿Lote 12?"}}})}};
  }

  static std::string Text(const json& answer) { return answer["choices"][0]["message"]["content"]; }

  static double Logprob(const json& answer) {
    return answer["choices"][0]["logprobs"]["content"][0]["logprob"];
  }

  static std::string StreamText(const std::string& stream) {
    std::istringstream lines(stream);
    std::string line;
    std::string text;
    while (std::getline(lines, line)) {
      if (!line.starts_with("data: {")) continue;
      text += json::parse(line.substr(6))["choices"][0]["delta"].value("content", "");
    }
    return text;
  }

  /// Opens a stream and waits for its first chunk.
  static std::unique_ptr<HttpStream> OpenStream(const StandinServer& server,
                                                int tokens = kLongRunningTokens) {
    HttpRequest request;
    request.method = "POST";
    request.path = kChat;
    request.body = Request("good", tokens, true).dump();
    std::unique_ptr<HttpStream> stream = HandleFailure(
        [&] { return HttpClient(server.address()).Open(request, std::chrono::seconds(20)); },
        [](const Failure&) { return std::unique_ptr<HttpStream>(); });
    CPPUNIT_ASSERT(stream);
    std::string line;
    CPPUNIT_ASSERT(stream->ReadLine(line));
    return stream;
  }

  template <class Condition>
  static bool WaitFor(Condition condition) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > deadline) return false;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
  }

  SystemClock clock_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineTest);

}  // namespace bamboodock::standin
