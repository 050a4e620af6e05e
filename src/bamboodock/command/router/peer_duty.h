#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <thread>
#include <variant>
#include <vector>

#include "bamboodock/codec/peer_codec.h"
#include "bamboodock/core/clock.h"
#include "bamboodock/observe/event_log.h"
#include "bamboodock/routing/directory_codec.h"
#include "bamboodock/routing/peer_report.h"
#include "bamboodock/transport/ring_inbox.h"

namespace bamboodock {

/// Command to the peer duty: a message to send, or further entries to send messages to.
using PeerCommand =
    std::variant<PeerReport, PromptEvidenceReport, RateLimitReport, std::vector<PeerRecord>>;

/// Duty that exchanges messages with the other entries over UDP.
///
/// Messages are cumulative, so lost, delayed and duplicated datagrams are harmless.
class PeerDuty {
 public:
  /// Size in bytes up to which datagrams are received whole.
  static constexpr std::size_t kMaxDatagramSize = 1400;

  /// @param on_message Called on the duty's thread for each message; must not block.
  PeerDuty(PeerRecord self, std::function<void(PeerMessage)> on_message, const Clock& clock,
           EventLog& log);
  ~PeerDuty() { Stop(); }

  void Start();
  void Stop();
  /// Any thread may call it; false when the ring is full.
  bool Post(PeerCommand command) { return inbox_.TryPush(std::move(command)); }

 private:
  void HandleCommand(PeerCommand& command);
  void On(const PeerReport& report) { Send(EncodePeerReport(report), next_for_reports_); }
  void On(const PromptEvidenceReport& report) {
    Send(EncodePromptEvidence(report, clock_.Now()), next_for_evidence_);
  }
  void On(const RateLimitReport& report) { Send(EncodeRateLimits(report), next_for_limits_); }
  void On(const std::vector<PeerRecord>& peers) { AddPeers(peers); }
  /// Sends the bytes to the peers that follow the one at position `last`, which it advances.
  void Send(const std::string& bytes, std::size_t& last);
  void AddPeers(const std::vector<PeerRecord>& peers);
  void ReadNext();
  void OnDatagram(std::size_t size);

  PeerRecord self_;
  std::function<void(PeerMessage)> on_message_;
  const Clock& clock_;
  EventLog& log_;
  boost::asio::io_context loop_{1};
  boost::asio::ip::udp::socket socket_;
  RingInbox<PeerCommand> inbox_;
  std::map<HostId, boost::asio::ip::udp::endpoint> peers_;
  /// Positions of the peers that were sent to last; sends go round robin over the peers. Each kind
  /// of message has its own, so that all peers get all kinds.
  std::size_t next_for_reports_ = 0;
  std::size_t next_for_evidence_ = 0;
  std::size_t next_for_limits_ = 0;
  std::array<char, kMaxDatagramSize> datagram_{};
  boost::asio::ip::udp::endpoint sender_;
  std::thread thread_;
};

}  // namespace bamboodock
