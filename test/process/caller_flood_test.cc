#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <string>

#include "process/support/caller_crowd.h"
#include "process/support/host_check.h"
#include "process/support/single_router.h"

namespace bamboodock::process_test {
namespace {

constexpr std::size_t kMegabyte = 1U << 20U;
constexpr std::size_t kMaxBody = kMegabyte;
/// Bytes by which a body stops short of its end.
constexpr std::size_t kMissing = 16;
constexpr std::size_t kPieceSize = 65536;
constexpr const char* kChunked = "Transfer-Encoding: chunked\r\n\r\n";

std::string ContentLength(std::size_t size) {
  return "Content-Length: " + std::to_string(size) + "\r\n\r\n";
}

/// Chunk without the line end that completes it.
std::string OpenChunk(std::size_t size, std::size_t sent) {
  std::ostringstream chunk;
  chunk << std::hex << size << "\r\n" << std::string(sent, 'x');
  return chunk.str();
}

/// One of many small chunks.
std::string Piece() { return OpenChunk(kPieceSize, kPieceSize) + "\r\n"; }

}  // namespace

/// Callers that send what the limits of the router do not expect, many at a time. The router must
/// live on within the memory and the descriptors of its host and answer an ordinary request while
/// the crowd is still connected.
class CallerFloodTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerFloodTest);
  CPPUNIT_TEST(LargestBodyIsServedInCalm);
  CPPUNIT_TEST(EndlessTrailers);
  CPPUNIT_TEST(AnnouncedBodiesThatStopShort);
  CPPUNIT_TEST(ChunkedBodiesThatStopShort);
  CPPUNIT_TEST(AnnouncedBodiesOverTheLimit);
  CPPUNIT_TEST(ChunkedBodiesOverTheLimit);
  CPPUNIT_TEST(SilentConnections);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against limits that turn away a single request that the configuration allows.
  void LargestBodyIsServedInCalm() {
    SingleRouter router("flood-calm", host_);
    CPPUNIT_ASSERT_EQUAL(200, router.Request("calm", std::string(kMaxBody, 'x')));
    CheckHost(router, host_);
  }

  // Guards against trailers that are kept in memory without a bound.
  void EndlessTrailers() {
    constexpr std::size_t kCallers = 4;
    constexpr std::size_t kTrailerBytes = 24 * kMegabyte;
    SingleRouter router("flood-trailers", host_);
    CallerCrowd crowd(router.callers(), kCallers);
    const std::string trailer = "X-Trailer: " + std::string(1000, 't') + "\r\n";
    for (std::size_t caller = 0; caller < kCallers; ++caller) {
      crowd.Send(caller, SingleRouter::RequestHead("t" + std::to_string(caller)) + kChunked +
                             "4\r\nbody\r\n0\r\n");
      bool open = true;
      for (std::size_t sent = 0; open && sent < kTrailerBytes; sent += trailer.size()) {
        open = crowd.Send(caller, trailer);
      }
    }
    Check(router);
  }

  // Guards against many legal bodies that are kept in memory until the last byte arrives.
  void AnnouncedBodiesThatStopShort() {
    SingleRouter router("flood-announced", host_);
    CallerCrowd crowd(router.callers(), kUploads);
    for (std::size_t caller = 0; caller < kUploads; ++caller) {
      crowd.Send(caller, SingleRouter::RequestHead("a" + std::to_string(caller)) +
                             ContentLength(kMaxBody) + std::string(kMaxBody - kMissing, 'x'));
    }
    Check(router);
  }

  // The same with bodies in chunks, whose length is not known before their end.
  void ChunkedBodiesThatStopShort() {
    SingleRouter router("flood-chunked", host_);
    CallerCrowd crowd(router.callers(), kUploads);
    for (std::size_t caller = 0; caller < kUploads; ++caller) {
      crowd.Send(caller, SingleRouter::RequestHead("c" + std::to_string(caller)) + kChunked);
      for (std::size_t sent = kPieceSize; sent < kMaxBody; sent += kPieceSize) {
        crowd.Send(caller, Piece());
      }
      crowd.Send(caller, OpenChunk(kPieceSize, kPieceSize - kMissing));
    }
    Check(router);
  }

  // Guards against bodies over the limit that are read although their length tells.
  void AnnouncedBodiesOverTheLimit() {
    SingleRouter router("flood-announced-over", host_);
    CallerCrowd crowd(router.callers(), kUploads);
    for (std::size_t caller = 0; caller < kUploads; ++caller) {
      crowd.Send(caller, SingleRouter::RequestHead("o" + std::to_string(caller)) +
                             ContentLength(64 * kMaxBody) + std::string(2 * kMaxBody, 'x'));
    }
    Check(router);
  }

  // Guards against bodies over the limit of which each is kept up to the limit.
  void ChunkedBodiesOverTheLimit() {
    SingleRouter router("flood-chunked-over", host_);
    CallerCrowd crowd(router.callers(), kUploads);
    for (std::size_t caller = 0; caller < kUploads; ++caller) {
      crowd.Send(caller, SingleRouter::RequestHead("l" + std::to_string(caller)) + kChunked);
      for (std::size_t sent = kPieceSize; sent < kMaxBody; sent += kPieceSize) {
        crowd.Send(caller, Piece());
      }
    }
    AwaitSteadyMemory(router);
    for (std::size_t caller = 0; caller < kUploads; ++caller) {
      crowd.Send(caller, Piece() + Piece());
    }
    Check(router);
  }

  // Guards against connections that take all descriptors of the host and send nothing.
  void SilentConnections() {
    constexpr std::size_t kCallers = 400;
    host_.descriptors = 320;
    SingleRouter router("flood-silent", host_);
    CallerCrowd crowd(router.callers(), kCallers);
    Check(router);
  }

 private:
  /// Together 96 MB of bodies for a host with 64 MB.
  static constexpr std::size_t kUploads = 96;

  void Check(SingleRouter& router) const {
    AwaitSteadyMemory(router);
    const int during = router.Request("during");
    CheckHost(router, host_);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("answer to an ordinary request", 200, during);
  }

  SmallHost host_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerFloodTest);

}  // namespace bamboodock::process_test
