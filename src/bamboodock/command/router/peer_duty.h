#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <thread>
#include <variant>
#include <vector>

#include "bamboodock/observe/event_log.h"
#include "bamboodock/routing/directory_codec.h"
#include "bamboodock/routing/peer_report.h"
#include "bamboodock/transport/ring_inbox.h"

namespace bamboodock {

/// Command to the peer duty: a report to send, or further entries to send reports to.
using PeerCommand = std::variant<PeerReport, std::vector<PeerRecord>>;

/// Duty that exchanges reports with the other entries over UDP.
///
/// Reports are cumulative, so lost, delayed and duplicated datagrams are harmless.
class PeerDuty {
 public:
  /// @param on_report Called on the duty's thread for each report; must not block.
  PeerDuty(PeerRecord self, std::function<void(PeerReport)> on_report, EventLog& log);
  ~PeerDuty() { Stop(); }

  void Start();
  void Stop();
  /// Any thread may call it; false when the ring is full.
  bool Post(PeerCommand command) { return inbox_.TryPush(std::move(command)); }

 private:
  static constexpr std::size_t kMaxDatagramSize = 1400;

  void HandleCommand(PeerCommand& command);
  void Send(const PeerReport& report);
  void AddPeers(const std::vector<PeerRecord>& peers);
  void ReadNext();
  void OnDatagram(std::size_t size);

  PeerRecord self_;
  std::function<void(PeerReport)> on_report_;
  EventLog& log_;
  boost::asio::io_context loop_{1};
  boost::asio::ip::udp::socket socket_;
  RingInbox<PeerCommand> inbox_;
  std::map<HostId, boost::asio::ip::udp::endpoint> peers_;
  /// Position of the peer that was sent to last; sends go round robin over the peers.
  std::size_t next_peer_ = 0;
  std::array<char, kMaxDatagramSize> datagram_{};
  boost::asio::ip::udp::endpoint sender_;
  std::thread thread_;
};

}  // namespace bamboodock
