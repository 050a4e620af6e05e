#include "bamboodock/command/router/router_process.h"

#include <cppunit/extensions/HelperMacros.h>

#include "fakes/scripted_server.h"
#include "platform/http_wire_protocol.h"
#include "platform/platform_directory_codec.h"
#include "platform/table_store_protocol.h"

namespace bamboodock {
namespace {

/// Time that the load balancer needs to remove a process, as in `RouterProcess::Stop`.
constexpr std::chrono::milliseconds kLoadBalancerDelay{2600};
/// Time within which a process without open requests ends after that.
constexpr std::chrono::milliseconds kMaxStopTime{300};

/// Address on loopback that no socket uses.
Address FreeAddress() {
  boost::asio::io_context loop;
  const boost::asio::ip::tcp::acceptor acceptor(loop,
                                                {boost::asio::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", acceptor.local_endpoint().port()};
}

}  // namespace

class RouterProcessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouterProcessTest);
  CPPUNIT_TEST(StopDoesNotWaitForIdleConnections);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a process that outlives its grace time because a connection to its metrics is
  // open and the store does not answer.
  void StopDoesNotWaitForIdleConnections() {
    ScriptedServer silent_store([](const auto&, std::size_t) {
      return ScriptedServer::Answer{"", ScriptedServer::ConnectionAction::kWaitForPeer};
    });
    RouterSettings settings;
    settings.host = HostId("h1");
    settings.callers = settings.readiness = settings.gossip = {"127.0.0.1", 0};
    settings.metrics = FreeAddress();
    settings.store = silent_store.address();
    const platform::HttpWireProtocol wire;
    const platform::PlatformDirectoryCodec directory;
    const platform::TableStoreProtocol store;
    const auto process = HandleFailure(
        [&]() {
          return RouterProcess::Start(settings, {wire, directory, store});
        },
        [](const Failure&) { return std::unique_ptr<RouterProcess>(); });
    CPPUNIT_ASSERT(process != nullptr);
    boost::asio::io_context loop;
    boost::asio::ip::tcp::socket metrics(loop);
    metrics.connect({boost::asio::ip::make_address("127.0.0.1"), settings.metrics->port});
    const auto begin = std::chrono::steady_clock::now();
    process->Stop();
    const auto took = std::chrono::steady_clock::now() - begin;
    CPPUNIT_ASSERT(took >= kLoadBalancerDelay);
    CPPUNIT_ASSERT(took <= kLoadBalancerDelay + kMaxStopTime);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterProcessTest);

}  // namespace bamboodock
