#include "bamboodock/transport/http_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include "fakes/broken_answers.h"
#include "fakes/scripted_server.h"
#include "fakes/unread_upload_server.h"

namespace bamboodock {
namespace {

using ConnectionAction = ScriptedServer::ConnectionAction;
using Answer = ScriptedServer::Answer;

constexpr std::chrono::seconds kTimeout{10};

ScriptedServer::Script Sends(const std::string& bytes,
                             ConnectionAction action = ConnectionAction::kClose) {
  return [bytes, action](const auto&, std::size_t) { return Answer{bytes, action}; };
}

/// Returns status and body, or "failed".
template <class Server>
std::string Call(const Server& server, const HttpRequest& request = {}) {
  return HandleFailure(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(response, HttpClient(server.address()).Call(request, kTimeout));
        return std::to_string(response.status) + " " + response.body;
      },
      [](const Failure& /*failure*/) { return std::string("failed"); });
}

void AssertRefused(const std::vector<SampleAnswer>& samples) {
  std::string taken;
  for (const SampleAnswer& sample : samples) {
    ScriptedServer server(Sends(sample.bytes));
    const std::string result = Call(server);
    if (result != "failed") taken.append("\n" + sample.name + ": " + result);
  }
  CPPUNIT_ASSERT_MESSAGE(taken, taken.empty());
}

}  // namespace

/// Answers that engines, stores and peers send to the client.
class HttpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(BrokenAnswersAreRefused);
  CPPUNIT_TEST(SoundAnswersAreRead);
  CPPUNIT_TEST(BodyCutByAResetIsIncomplete);
  CPPUNIT_TEST(BodyCutByAResetDuringTheUploadIsIncomplete);
  CPPUNIT_TEST(BodyThatEndsInOrderDuringTheUploadIsRead);
  CPPUNIT_TEST(EndlessLineIsGivenUp);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against broken answers that the client returns, for example with a head that ends at a
  // line that begins with a blank.
  void BrokenAnswersAreRefused() {
    AssertRefused(AnswersWithBrokenStatus());
    AssertRefused(InterimAnswersWithContent());
    AssertRefused(AnswersWithBrokenFields());
    AssertRefused(AnswersWithBrokenFraming());
  }

  // Guards against checks that refuse what HTTP allows, and against an interim answer that is
  // returned as the final one.
  void SoundAnswersAreRead() {
    std::string failed;
    for (const SampleAnswer& sample : SoundAnswers()) {
      ScriptedServer server(Sends(sample.bytes));
      const std::string result = Call(server);
      const bool read = result == "200 id: 1\ndata: answer\n\n";
      if (!read) failed.append("\n" + sample.name + ": " + result);
    }
    CPPUNIT_ASSERT_MESSAGE(failed, failed.empty());
  }

  // Guards against the part of a body without a length that is taken for the whole one, since the
  // reset behind it is not seen.
  void BodyCutByAResetIsIncomplete() {
    ScriptedServer server(
        Sends(AnswerFramedBy("", std::string(100, 'x')), ConnectionAction::kReset));
    CPPUNIT_ASSERT_EQUAL(std::string("failed"), Call(server));
  }

  // Guards against the same when the write of the request learns of the reset.
  void BodyCutByAResetDuringTheUploadIsIncomplete() {
    const UnreadUploadServer server(UnreadUploadServer::Ending::kReset, AnswerFramedBy("", "part"));
    CPPUNIT_ASSERT_EQUAL(std::string("failed"), Call(server, LongRequest()));
  }

  // Guards against an early answer that is lost, since its peer does not read the whole request.
  void BodyThatEndsInOrderDuringTheUploadIsRead() {
    const UnreadUploadServer server(UnreadUploadServer::Ending::kClose,
                                    AnswerFramedBy("", "whole"));
    CPPUNIT_ASSERT_EQUAL(std::string("200 whole"), Call(server, LongRequest()));
  }

  // Guards against memory that grows while an engine sends a line without end.
  void EndlessLineIsGivenUp() {
    constexpr std::size_t kSocketBytes = 16U << 20U;
    ScriptedServer server(Sends(AnswerFramedBy("", std::string(4 * kSocketBytes, 'x'))));
    HandleFailure(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(stream, HttpClient(server.address()).Open({}, kTimeout));
          std::string line;
          CPPUNIT_ASSERT(!stream->ReadLine(line));
          return {};
        },
        [](const Failure& failure) { CPPUNIT_FAIL(failure.detail); });
    // The server counts what it has sent when its write ends.
    for (int polls = 0; server.bytes_sent() == 0 && polls < 1000; ++polls) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CPPUNIT_ASSERT_MESSAGE("bytes sent: " + std::to_string(server.bytes_sent()),
                           server.bytes_sent() <= kMaxLine + kSocketBytes);
  }

 private:
  /// Largest line that a client may keep.
  static constexpr std::size_t kMaxLine = 1U << 20U;

  static HttpRequest LongRequest() {
    // More than the send buffer of a socket and the receive buffer of the server hold.
    constexpr std::size_t kBodyBytes = 4194304;
    HttpRequest request;
    request.method = "POST";
    request.body = std::string(kBodyBytes, 'x');
    return request;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

}  // namespace bamboodock
