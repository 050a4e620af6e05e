#include "bamboodock/command/router/answer_writer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_future.hpp>
#include <future>
#include <thread>

namespace bamboodock {
namespace {

using Tcp = asio::ip::tcp;

/// Two ends of a connection on loopback with small buffers, and a thread for the writer's end.
class SmallBufferConnection {
 public:
  SmallBufferConnection() : caller_(loop_, Tcp::v4()), stream_(loop_) {
    Tcp::acceptor acceptor(loop_, {asio::ip::make_address("127.0.0.1"), 0});
    caller_.set_option(asio::socket_base::receive_buffer_size(kBufferBytes));
    caller_.connect(acceptor.local_endpoint());
    stream_.socket() = acceptor.accept();
    stream_.socket().set_option(asio::socket_base::send_buffer_size(kBufferBytes));
    thread_ = std::thread([this] { loop_.run(); });
  }
  ~SmallBufferConnection() {
    loop_.stop();
    thread_.join();
  }

  /// Starts to send an answer; the result is that of `AnswerWriter::Send`.
  std::future<bool> Send(std::string body, std::chrono::milliseconds write_timeout) {
    writer_.emplace(stream_, write_timeout);
    AnswerHead head;
    head.status = 200;
    return asio::co_spawn(loop_, writer_->Send(std::move(head), std::move(body), false),
                          asio::use_future);
  }
  /// Reads some bytes after a pause; returns their number, 0 at the end.
  std::size_t ReadAfter(std::chrono::milliseconds pause) {
    asio::steady_timer(loop_, pause).wait();
    std::array<char, kReadBytes> bytes{};
    SocketError error;
    return caller_.read_some(asio::buffer(bytes), error);
  }

 private:
  static constexpr int kBufferBytes = 16384;
  static constexpr std::size_t kReadBytes = 4096;

  asio::io_context loop_;
  asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(loop_);
  Tcp::socket caller_;
  beast::tcp_stream stream_;
  std::optional<AnswerWriter> writer_;
  std::thread thread_;
};

}  // namespace

class AnswerWriterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswerWriterTest);
  CPPUNIT_TEST(CallerThatReadsSlowlyGetsTheWholeAnswer);
  CPPUNIT_TEST(CallerThatReadsNothingIsDropped);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an answer that is cut since a caller takes longer for all of it than the timeout
  // for a caller that takes nothing.
  void CallerThatReadsSlowlyGetsTheWholeAnswer() {
    SmallBufferConnection connection;
    std::future<bool> sent = connection.Send(std::string(kBodyBytes, 'x'), kWriteTimeout);
    std::size_t read = 0;
    while (read < kBodyBytes) {
      const std::size_t size = connection.ReadAfter(kPause);
      CPPUNIT_ASSERT(size > 0);
      read += size;
    }
    CPPUNIT_ASSERT(sent.get());
  }

  // Guards against an answer that is held for good by a caller that accepts no bytes.
  void CallerThatReadsNothingIsDropped() {
    SmallBufferConnection connection;
    std::future<bool> sent = connection.Send(std::string(kBodyBytes, 'x'), kWriteTimeout);
    CPPUNIT_ASSERT(!sent.get());
  }

 private:
  static constexpr std::size_t kBodyBytes = 262144;
  static constexpr std::chrono::milliseconds kWriteTimeout{1000};
  /// All reads together take longer than the write timeout.
  static constexpr std::chrono::milliseconds kPause{40};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerWriterTest);

}  // namespace bamboodock
