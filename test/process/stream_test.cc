#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "process/support/deployment.h"

namespace bamboodock::process_test {
namespace {

/// Answer that the engine gives when called directly, without the router.
StreamedAnswer DirectAnswer(const Deployment& deployment, const std::string& endpoint,
                            const std::string& prompt, Tokens length) {
  const Reply reply = Post(deployment.upstream_address(endpoint), "/v1/chat/completions",
                           ChatBody(kSmall, prompt, length, true));
  return ReadStream(reply.body);
}

/// Asserts that the caller received the complete answer, or a prefix of it that ends with an error
/// and without an end marker.
void CheckCompleteOrFailed(const StreamedAnswer& direct, const StreamedAnswer& received) {
  CPPUNIT_ASSERT_MESSAGE(
      "expected either the end marker or an error, found both or neither; error: " + received.error,
      received.done == received.error.empty());
  const StreamedAnswer& expected = direct;
  if (received.done) {
    CPPUNIT_ASSERT_EQUAL(expected.chunks, received.chunks);
    CPPUNIT_ASSERT_EQUAL(expected.text, received.text);
    return;
  }
  CPPUNIT_ASSERT(received.chunks < expected.chunks);
  CPPUNIT_ASSERT_EQUAL(expected.text.substr(0, received.text.size()), received.text);
}

/// Waits until the engine has generated `count` more tokens; false on a timeout.
bool AwaitTokens(const Deployment& deployment, const char* endpoint, std::uint64_t count) {
  const std::uint64_t before = deployment.Counter(endpoint, "tokens");
  return WaitFor([&] { return deployment.Counter(endpoint, "tokens") >= before + count; });
}

}  // namespace

class StreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamTest);
  CPPUNIT_TEST(EngineInterruptsStream);
  CPPUNIT_TEST(SidecarSuspended);
  CPPUNIT_TEST(ParallelStreams);
  CPPUNIT_TEST(GracefulStop);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an end marker after an answer that the engine did not finish.
  void EngineInterruptsStream() {
    Deployment deployment(
        DeploymentPlan("EngineInterruptsStream", 21200).Engine("engine-1", "west"));
    const Tokens length(30);
    const StreamedAnswer direct = DirectAnswer(deployment, "engine-1", "deed", length);
    CPPUNIT_ASSERT(direct.done);
    for (const char* mode : {"cut", "freeze"}) {
      deployment.SetEndpointFault("engine-1", {{"mode", mode}, {"count", 1}, {"after_chunks", 5}});
      const Reply reply =
          Send(deployment.caller_address(0), deployment.StreamRequest("deed", length));
      const StreamedAnswer received = ReadStream(reply.body);
      CPPUNIT_ASSERT_MESSAGE(mode, !received.done);
      CPPUNIT_ASSERT_MESSAGE(mode, !received.error.empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(mode, std::size_t{5}, received.chunks);
      CheckCompleteOrFailed(direct, received);
    }
    const Reply reply =
        Send(deployment.caller_address(0), deployment.StreamRequest("deed", length));
    CPPUNIT_ASSERT_EQUAL(direct.text, ReadStream(reply.body).text);
  }

  // Guards against lost and repeated chunks when a stream is resumed on a new connection after its
  // sidecar was suspended.
  void SidecarSuspended() {
    Deployment deployment(
        DeploymentPlan("SidecarSuspended", 21300).Engine("engine-1", "west", {"--token_ms=30"}));
    const Tokens length(120);
    const StreamedAnswer direct = DirectAnswer(deployment, "engine-1", "deed", length);
    OpenRequest first(deployment.caller_address(0), deployment.StreamRequest("deed", length));
    OpenRequest second(deployment.caller_address(1), deployment.StreamRequest("deed", length));
    CPPUNIT_ASSERT(AwaitTokens(deployment, "engine-1", 40));
    deployment.sidecar("engine-1").Suspend();
    std::this_thread::sleep_for(std::chrono::seconds(3));
    deployment.sidecar("engine-1").Resume();
    for (OpenRequest* open : {&first, &second}) {
      const StreamedAnswer received = ReadStream(open->reply().body);
      CPPUNIT_ASSERT(received.chunks > 0);
      CheckCompleteOrFailed(direct, received);
    }
  }

  // Guards against concurrent answers that are truncated, mixed up or sent to the wrong caller.
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
      open.push_back(
          std::make_unique<OpenRequest>(deployment.caller_address(i % deployment.entries()),
                                        deployment.StreamRequest(prompt(i), length)));
    }
    std::vector<StreamedAnswer> received;
    received.reserve(open.size());
    for (const auto& request : open) received.push_back(ReadStream(request->reply().body));
    for (std::size_t i = 0; i < kStreams; ++i) {
      const StreamedAnswer direct = DirectAnswer(deployment, "engine-1", prompt(i), length);
      CPPUNIT_ASSERT_MESSAGE(received[i].error + open[i]->reply().body, received[i].done);
      CPPUNIT_ASSERT_EQUAL(direct.text, received[i].text);
      CPPUNIT_ASSERT_EQUAL(direct.chunks, received[i].chunks);
    }
  }

  // Guards against a graceful stop that truncates an open stream or leaves its billing record
  // unwritten.
  void GracefulStop() {
    Deployment deployment(
        DeploymentPlan("GracefulStop", 21500).Engine("engine-1", "west", {"--token_ms=20"}));
    const Tokens length(100);
    const StreamedAnswer direct = DirectAnswer(deployment, "engine-1", "deed", length);
    for (ChildProcess* stopped : {&deployment.entry(0), &deployment.sidecar("engine-1")}) {
      const bool is_entry = stopped == &deployment.entry(0);
      OpenRequest open(deployment.caller_address(is_entry ? 0 : 1),
                       deployment.StreamRequest("deed", length));
      CPPUNIT_ASSERT(AwaitTokens(deployment, "engine-1", 10));
      stopped->Terminate();
      const StreamedAnswer received = ReadStream(open.reply().body);
      CPPUNIT_ASSERT_MESSAGE(received.error, received.done);
      CPPUNIT_ASSERT_EQUAL(direct.text, received.text);
      CPPUNIT_ASSERT_EQUAL(0, stopped->Wait(kWaitTimeout).value_or(-1));
    }
    CPPUNIT_ASSERT(WaitFor([&] { return deployment.Rows("billing/").size() == 2; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamTest);

}  // namespace bamboodock::process_test
