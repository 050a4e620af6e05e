#include "bamboodock/command/router/peer_duty.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <iterator>
#include <utility>

namespace bamboodock {
namespace {

using boost::asio::ip::udp;

/// Datagrams sent per message. With more peers, each gets only some of the messages, so that the
/// number of messages per node does not grow with the size of the deployment.
constexpr std::size_t kSendsPerReport = 16;
constexpr std::size_t kInboxCapacity = 64;

udp::endpoint ToUdp(const Address& address) {
  return {boost::asio::ip::make_address(address.ip), address.port};
}

}  // namespace

PeerDuty::PeerDuty(PeerRecord self, std::function<void(PeerMessage)> on_message, const Clock& clock,
                   EventLog& log)
    : self_(std::move(self)),
      on_message_(std::move(on_message)),
      clock_(clock),
      log_(log),
      socket_(loop_, ToUdp(self_.gossip)),
      inbox_(loop_, kInboxCapacity, [this](PeerCommand& command) { HandleCommand(command); }) {}

void PeerDuty::Start() {
  ReadNext();
  thread_ = std::thread([this] { loop_.run(); });
}

void PeerDuty::Stop() {
  loop_.stop();
  if (thread_.joinable()) thread_.join();
}

void PeerDuty::HandleCommand(PeerCommand& command) {
  std::visit([this](const auto& content) { On(content); }, command);
}

void PeerDuty::AddPeers(const std::vector<PeerRecord>& peers) {
  for (const PeerRecord& peer : peers) {
    if (peer.host != self_.host) peers_.insert_or_assign(peer.host, ToUdp(peer.gossip));
  }
}

void PeerDuty::Send(const std::string& bytes, std::size_t& last) {
  if (peers_.empty()) return;
  const std::size_t sends = std::min(peers_.size(), kSendsPerReport);
  for (std::size_t i = 0; i < sends; ++i) {
    last = (last + 1) % peers_.size();
    const auto peer = std::next(peers_.begin(), static_cast<std::ptrdiff_t>(last));
    boost::system::error_code error;
    socket_.send_to(boost::asio::buffer(bytes), peer->second, 0, error);
    if (error) {
      log_.Write(Event::kPeerUnreachable, RequestId(),
                 "host=" + peer->first.value() + " reason='" + error.message() + "'");
    }
  }
}

void PeerDuty::ReadNext() {
  socket_.async_receive_from(boost::asio::buffer(datagram_), sender_,
                             [this](const boost::system::error_code& error, std::size_t size) {
                               if (error == boost::asio::error::operation_aborted) return;
                               if (!error) OnDatagram(size);
                               ReadNext();
                             });
}

void PeerDuty::OnDatagram(std::size_t size) {
  auto message = DecodePeerMessage({datagram_.data(), size}, clock_.Now());
  if (message) {
    const HostId& host =
        std::visit([](const auto& content) -> const HostId& { return content.host; }, *message);
    if (host != self_.host) on_message_(std::move(*message));
  } else {
    log_.Write(Event::kPeerUnreachable, RequestId(),
               "cannot decode datagram from " + sender_.address().to_string());
  }
}

}  // namespace bamboodock
