#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "process/support/deployment.h"

namespace bamboodock::process_test {
namespace {

/// Answer of the engine itself, asked without the router.
StreamedAnswer OwnAnswer(const Deployment& deployment, const std::string& endpoint,
                         const std::string& prompt, Tokens length) {
  const Reply reply = Post(deployment.upstream(endpoint), "/v1/chat/completions",
                           ChatBody(kSmall, prompt, length, true));
  return ReadStream(reply.body);
}

/// Whether the caller got the whole answer, or its beginning with an error and no end mark.
void CheckWholeOrFailed(const StreamedAnswer& own, const StreamedAnswer& seen) {
  CPPUNIT_ASSERT_MESSAGE("both or neither: end mark, error " + seen.error,
                         seen.done == seen.error.empty());
  const StreamedAnswer& expected = own;
  if (seen.done) {
    CPPUNIT_ASSERT_EQUAL(expected.chunks, seen.chunks);
    CPPUNIT_ASSERT_EQUAL(expected.text, seen.text);
    return;
  }
  CPPUNIT_ASSERT(seen.chunks < expected.chunks);
  CPPUNIT_ASSERT_EQUAL(expected.text.substr(0, seen.text.size()), seen.text);
}

/// Waits until the engine has generated some tokens of the open streams.
bool AwaitTokens(const Deployment& deployment, const char* endpoint, std::uint64_t count) {
  const std::uint64_t before = deployment.Counter(endpoint, "tokens");
  return WaitFor([&] { return deployment.Counter(endpoint, "tokens") >= before + count; });
}

}  // namespace

class StreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamTest);
  CPPUNIT_TEST(EngineBreaksOff);
  CPPUNIT_TEST(SidecarFrozen);
  CPPUNIT_TEST(ParallelStreams);
  CPPUNIT_TEST(GracefulStop);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an end mark after an answer that the engine did not finish.
  void EngineBreaksOff() {
    Deployment deployment(DeploymentPlan("EngineBreaksOff", 21200).Engine("engine-1", "west"));
    const Tokens length(30);
    const StreamedAnswer own = OwnAnswer(deployment, "engine-1", "deed", length);
    CPPUNIT_ASSERT(own.done);
    for (const char* mode : {"cut", "freeze"}) {
      deployment.FailEndpoint("engine-1", {{"mode", mode}, {"count", 1}, {"after_chunks", 5}});
      const Reply reply = Send(deployment.caller(0), deployment.StreamRequest("deed", length));
      const StreamedAnswer seen = ReadStream(reply.body);
      CPPUNIT_ASSERT_MESSAGE(mode, !seen.done);
      CPPUNIT_ASSERT_MESSAGE(mode, !seen.error.empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(mode, std::size_t{5}, seen.chunks);
      CheckWholeOrFailed(own, seen);
    }
    const Reply reply = Send(deployment.caller(0), deployment.StreamRequest("deed", length));
    CPPUNIT_ASSERT_EQUAL(own.text, ReadStream(reply.body).text);
  }

  // Guards against lost and repeated chunks when an answer is resumed on a new connection.
  void SidecarFrozen() {
    Deployment deployment(
        DeploymentPlan("SidecarFrozen", 21300).Engine("engine-1", "west", {"--token_ms=30"}));
    const Tokens length(120);
    const StreamedAnswer own = OwnAnswer(deployment, "engine-1", "deed", length);
    OpenRequest first(deployment.caller(0), deployment.StreamRequest("deed", length));
    OpenRequest second(deployment.caller(1), deployment.StreamRequest("deed", length));
    CPPUNIT_ASSERT(AwaitTokens(deployment, "engine-1", 40));
    deployment.sidecar("engine-1").Freeze();
    std::this_thread::sleep_for(std::chrono::seconds(3));
    deployment.sidecar("engine-1").Thaw();
    for (OpenRequest* open : {&first, &second}) {
      const StreamedAnswer seen = ReadStream(open->reply().body);
      CPPUNIT_ASSERT(seen.chunks > 0);
      CheckWholeOrFailed(own, seen);
    }
  }

  // Guards against answers that are cut, mixed up or given to another caller.
  void ParallelStreams() {
    Deployment deployment(DeploymentPlan("ParallelStreams", 21400)
                              .Engine("engine-1", "west")
                              .Limits(Concurrency(64), Concurrency(64))
                              .Engine("engine-2", "east")
                              .Limits(Concurrency(64), Concurrency(64)));
    constexpr std::size_t kStreams = 40;
    const Tokens length(60);
    const auto prompt = [](std::size_t i) { return "deed " + std::to_string(i); };
    std::vector<std::unique_ptr<OpenRequest>> open;
    for (std::size_t i = 0; i < kStreams; ++i) {
      open.push_back(std::make_unique<OpenRequest>(deployment.caller(i % deployment.entries()),
                                                   deployment.StreamRequest(prompt(i), length)));
    }
    std::vector<StreamedAnswer> seen;
    seen.reserve(open.size());
    for (const auto& request : open) seen.push_back(ReadStream(request->reply().body));
    for (std::size_t i = 0; i < kStreams; ++i) {
      const StreamedAnswer own = OwnAnswer(deployment, "engine-1", prompt(i), length);
      CPPUNIT_ASSERT_MESSAGE(seen[i].error + open[i]->reply().body, seen[i].done);
      CPPUNIT_ASSERT_EQUAL(own.text, seen[i].text);
      CPPUNIT_ASSERT_EQUAL(own.chunks, seen[i].chunks);
    }
  }

  // Guards against a planned stop that cuts a stream or leaves its billing record behind.
  void GracefulStop() {
    Deployment deployment(
        DeploymentPlan("GracefulStop", 21500).Engine("engine-1", "west", {"--token_ms=20"}));
    const Tokens length(100);
    const StreamedAnswer own = OwnAnswer(deployment, "engine-1", "deed", length);
    for (ChildProcess* stopped : {&deployment.entry(0), &deployment.sidecar("engine-1")}) {
      const bool is_entry = stopped == &deployment.entry(0);
      OpenRequest open(deployment.caller(is_entry ? 0 : 1),
                       deployment.StreamRequest("deed", length));
      CPPUNIT_ASSERT(AwaitTokens(deployment, "engine-1", 10));
      stopped->Terminate();
      const StreamedAnswer seen = ReadStream(open.reply().body);
      CPPUNIT_ASSERT_MESSAGE(seen.error, seen.done);
      CPPUNIT_ASSERT_EQUAL(own.text, seen.text);
      CPPUNIT_ASSERT_EQUAL(0, stopped->Wait(kPatience).value_or(-1));
    }
    CPPUNIT_ASSERT(WaitFor([&] { return deployment.Rows("billing/").size() == 2; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamTest);

}  // namespace bamboodock::process_test
