#include "bamboodock/transport/async_http_channel.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "fakes/broken_answers.h"
#include "fakes/scripted_server.h"

namespace bamboodock {
namespace {

using ConnectionAction = ScriptedServer::ConnectionAction;
using Answer = ScriptedServer::Answer;

constexpr std::chrono::seconds kTimeout{10};

asio::awaitable<void> CallInto(AsyncHttpChannel& channel, HttpExchangeResult& result) {
  result = co_await channel.Call(HttpRequest(), kTimeout);
}

/// Channel on an event loop of its own.
class ChannelFixture {
 public:
  explicit ChannelFixture(const ScriptedServer& server)
      : channel_(loop_.get_executor(), server.address()) {}

  HttpExchangeResult Call() {
    HttpExchangeResult result;
    asio::co_spawn(loop_, CallInto(channel_, result), asio::detached);
    loop_.restart();
    loop_.run();
    return result;
  }

 private:
  asio::io_context loop_{1};
  AsyncHttpChannel channel_;
};

ScriptedServer::Script Sends(const std::string& bytes) {
  return [bytes](const auto&, std::size_t) { return Answer{bytes, ConnectionAction::kClose}; };
}

std::string Describe(const HttpExchangeResult& result) {
  if (!result.response) return "failed";
  return std::to_string(result.response->status) + " " + result.response->body;
}

void AssertRefused(const std::vector<SampleAnswer>& samples) {
  std::string taken;
  for (const SampleAnswer& sample : samples) {
    ScriptedServer server(Sends(sample.bytes));
    const std::string result = Describe(ChannelFixture(server).Call());
    if (result != "failed") taken.append("\n" + sample.name + ": " + result);
  }
  CPPUNIT_ASSERT_MESSAGE(taken, taken.empty());
}

}  // namespace

/// Answers of the store on a persistent connection.
class AsyncHttpChannelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AsyncHttpChannelTest);
  CPPUNIT_TEST(BrokenAnswersAreRefused);
  CPPUNIT_TEST(SoundAnswersAreRead);
  CPPUNIT_TEST(AnswerBehindAnInterimOneBelongsToItsCall);
  CPPUNIT_TEST(EndlessBodyIsGivenUp);
  CPPUNIT_TEST(EndlessChunkExtensionIsGivenUp);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against broken answers that are taken for answers of the store.
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
      const std::string result = Describe(ChannelFixture(server).Call());
      const bool read = result == "200 id: 1\ndata: answer\n\n";
      if (!read) failed.append("\n" + sample.name + ": " + result);
    }
    CPPUNIT_ASSERT_MESSAGE(failed, failed.empty());
  }

  // Guards against an interim answer that is returned for one call, so that the final answer is
  // taken for that of the next call.
  void AnswerBehindAnInterimOneBelongsToItsCall() {
    ScriptedServer server([](const auto&, std::size_t number) {
      const std::string body = "answer " + std::to_string(number);
      return Answer{"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body,
                    ConnectionAction::kKeep};
    });
    ChannelFixture channel(server);
    CPPUNIT_ASSERT_EQUAL(std::string("200 answer 0"), Describe(channel.Call()));
    CPPUNIT_ASSERT_EQUAL(std::string("200 answer 1"), Describe(channel.Call()));
  }

  // Guards against the memory of an entry (120 MB) that is spent on one answer of the store, whose
  // pages have at most 1 MB of rows.
  void EndlessBodyIsGivenUp() {
    AssertGivenUpWithin(8U << 20U, "HTTP/1.1 200 OK\r\n\r\n", std::string(65536, 'x'));
  }

  // Guards against memory that grows while the store extends a chunk's header without end.
  void EndlessChunkExtensionIsGivenUp() {
    AssertGivenUpWithin(8U << 20U, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
                        std::string(65536, 'x'));
  }

 private:
  /// The server must not be able to send more than `limit` bytes beyond what sockets hold.
  static void AssertGivenUpWithin(std::size_t limit, const std::string& begin,
                                  const std::string& part) {
    constexpr std::size_t kSocketBytes = 16U << 20U;
    ScriptedServer server([&](const auto&, std::size_t) {
      return Answer{begin, ConnectionAction::kSendEndlessly, part};
    });
    ChannelFixture channel(server);
    CPPUNIT_ASSERT_EQUAL(std::string("failed"), Describe(channel.Call()));
    CPPUNIT_ASSERT_MESSAGE("bytes sent: " + std::to_string(server.bytes_sent()),
                           server.bytes_sent() <= limit + kSocketBytes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AsyncHttpChannelTest);

}  // namespace bamboodock
