#include "bamboodock/command/router/peer_duty.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <iterator>
#include <utility>

#include "bamboodock/codec/peer_codec.h"

namespace bamboodock {
namespace {

using boost::asio::ip::udp;

/// Datagrams sent per report. With more peers, each gets only some of the reports, so that the
/// number of messages per node does not grow with the size of the deployment.
constexpr std::size_t kSendsPerReport = 16;
constexpr std::size_t kInboxCapacity = 64;

udp::endpoint ToUdp(const Address& address) {
  return {boost::asio::ip::make_address(address.ip), address.port};
}

}  // namespace

PeerDuty::PeerDuty(PeerRecord self, std::function<void(PeerReport)> on_report, EventLog& log)
    : self_(std::move(self)),
      on_report_(std::move(on_report)),
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
  if (const auto* report = std::get_if<PeerReport>(&command)) {
    Send(*report);
  } else {
    AddPeers(std::get<std::vector<PeerRecord>>(command));
  }
}

void PeerDuty::AddPeers(const std::vector<PeerRecord>& peers) {
  for (const PeerRecord& peer : peers) {
    if (peer.host != self_.host) peers_.insert_or_assign(peer.host, ToUdp(peer.gossip));
  }
}

void PeerDuty::Send(const PeerReport& report) {
  if (peers_.empty()) return;
  const std::string bytes = EncodePeerReport(report);
  const std::size_t sends = std::min(peers_.size(), kSendsPerReport);
  for (std::size_t i = 0; i < sends; ++i) {
    next_peer_ = (next_peer_ + 1) % peers_.size();
    const auto peer = std::next(peers_.begin(), static_cast<std::ptrdiff_t>(next_peer_));
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
  auto report = DecodePeerReport({datagram_.data(), size});
  if (report && report->host != self_.host) {
    on_report_(std::move(*report));
  } else if (!report) {
    log_.Write(Event::kPeerUnreachable, RequestId(),
               "cannot decode datagram from " + sender_.address().to_string());
  }
}

}  // namespace bamboodock
