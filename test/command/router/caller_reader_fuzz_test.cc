#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <string>

#include "bamboodock/command/router/caller_reader.h"
#include "bamboodock/core/boot_clock.h"
#include "bamboodock/policy/host_capacity.h"
#include "bamboodock/policy/random.h"
#include "platform/http_wire_protocol.h"

namespace bamboodock {
namespace {

constexpr std::uint64_t kSeeds = 12;
constexpr int kRounds = 60;

const std::string kWithLength =
    "POST /a/1?q=2 HTTP/1.1\r\nHost: h.example\r\nX-Bamboodock-Attempt-Id: a1\r\n"
    "X-Bamboodock-Time-Left-Ms: 900\r\nContent-Length: 4\r\n\r\nbody";
const std::string kChunked =
    "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nX-Bamboodock-Attempt-Id: a2\r\n"
    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";

/// Fragments that parsers are known to interpret differently.
const std::array<std::string, 12> kAmbiguousFragments{"\r\n",
                                                      "\n",
                                                      "\r",
                                                      "\t",
                                                      " ",
                                                      ":",
                                                      std::string(1, '\0'),
                                                      "Content-Length: 9\r\n",
                                                      "Transfer-Encoding: chunked\r\n",
                                                      "Host: other.example\r\n",
                                                      "GET /hidden HTTP/1.1\r\n",
                                                      "0\r\n\r\n"};

std::string Mutate(std::string bytes, Random& random) {
  const std::uint64_t changes = 1 + random.Below(3);
  for (std::uint64_t i = 0; i < changes && !bytes.empty(); ++i) {
    const std::size_t at = random.Below(bytes.size());
    switch (random.Below(4)) {
      case 0:
        bytes[at] = static_cast<char>(random.Below(256));
        break;
      case 1:
        bytes.erase(at, 1 + random.Below(3));
        break;
      case 2:
        bytes.insert(at, kAmbiguousFragments[random.Below(kAmbiguousFragments.size())]);
        break;
      default:
        bytes.resize(at);
    }
  }
  return bytes;
}

/// Counts the header lines named `name` in the first request head, independently of the parser
/// under test.
std::size_t CountLines(const std::string& bytes, const std::string& name) {
  const std::string head = bytes.substr(0, bytes.find("\r\n\r\n"));
  std::size_t count = 0;
  for (std::size_t line = head.find("\r\n"); line != std::string::npos;
       line = head.find("\r\n", line + 2)) {
    const std::string start = head.substr(line + 2, name.size() + 1);
    if (boost::algorithm::iequals(start, name + ":")) ++count;
  }
  return count;
}

/// Both ends of a loopback connection.
class LoopbackConnection {
 public:
  explicit LoopbackConnection(asio::io_context& loop) : server_stream(loop), client_(loop) {
    asio::ip::tcp::acceptor acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0});
    client_.connect(acceptor.local_endpoint());
    server_stream.socket() = acceptor.accept();
  }

  void SendAndEnd(const std::string& bytes) {
    SocketError error;
    asio::write(client_, asio::buffer(bytes), error);
    client_.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  }

  beast::tcp_stream server_stream;

 private:
  asio::ip::tcp::socket client_;
};

asio::awaitable<void> ReadInto(CallerReader& reader, CallerRead& read) {
  read = co_await reader.Read(CallerLimits());
}

CallerRead ReadOne(const std::string& bytes) {
  asio::io_context loop;
  LoopbackConnection connection(loop);
  connection.SendAndEnd(bytes);
  const platform::HttpWireProtocol wire;
  const BootClock clock;
  RouterCounters counters;
  HeldMemory memory(HostCapacity().HeldBytesLimit(), clock, counters);
  CallerReader reader(connection.server_stream, wire, clock, memory);
  CallerRead read;
  asio::co_spawn(loop, ReadInto(reader, read), asio::detached);
  loop.run();
  return read;
}

}  // namespace

class CallerReaderFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerReaderFuzzTest);
  CPPUNIT_TEST(ValidRequestsAreRead);
  CPPUNIT_TEST(OnlyUnambiguousRequestsAreRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against refusal of valid requests with either framing, which the fuzz test would not
  // detect.
  void ValidRequestsAreRead() {
    for (const std::string& bytes : {kWithLength, kChunked}) {
      const CallerRead read = ReadOne(bytes);
      CPPUNIT_ASSERT(read.request != nullptr && read.request->body == "body");
    }
  }

  // Guards against request smuggling, acceptance of truncated requests, and crashes on malformed
  // bytes.
  void OnlyUnambiguousRequestsAreRead() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Random random(seed);
      for (int round = 0; round < kRounds; ++round) {
        const std::string bytes = Mutate(round % 2 == 0 ? kWithLength : kChunked, random);
        const CallerRead read = ReadOne(bytes);
        const std::string at = "seed " + std::to_string(seed) + " round " + std::to_string(round);
        if (read.request != nullptr) {
          CheckRequest(at, bytes, *read.request);
        } else if (read.refusal.code != ResultCode::kOk) {
          const int status = HttpStatus(read.refusal.code);
          CPPUNIT_ASSERT_MESSAGE(at, status >= 400 && status < 600);
        }
      }
    }
  }

 private:
  static void CheckRequest(const std::string& at, const std::string& bytes,
                           const CallerRequest& request) {
    CPPUNIT_ASSERT_MESSAGE(at, CountLines(bytes, "Host") == 1);
    const std::size_t lengths = CountLines(bytes, "Content-Length");
    const std::size_t encodings = CountLines(bytes, "Transfer-Encoding");
    CPPUNIT_ASSERT_MESSAGE(at, lengths + encodings <= 1);
    CPPUNIT_ASSERT_MESSAGE(at, FindHeadError(bytes.substr(0, bytes.find("\r\n\r\n") + 4)).empty());
    CPPUNIT_ASSERT_MESSAGE(at, !request.metadata.attempt.empty());
    const std::string rest = bytes.substr(bytes.find("\r\n\r\n") + 4);
    if (encodings == 0) {
      CPPUNIT_ASSERT_MESSAGE(at, rest.starts_with(request.body));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerReaderFuzzTest);

}  // namespace bamboodock
