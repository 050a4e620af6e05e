#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <set>
#include <thread>
#include <unordered_map>
#include <vector>

#include "bamboodock/command/router/route_commands.h"
#include "bamboodock/core/clock.h"
#include "bamboodock/observe/event_log.h"
#include "bamboodock/policy/store_clock.h"
#include "bamboodock/routing/directory.h"
#include "bamboodock/routing/store_protocol.h"
#include "bamboodock/transport/async_http_channel.h"
#include "bamboodock/transport/ring_inbox.h"

namespace bamboodock {

/// Receiver of what the store says.
class StoreListener {
 public:
  virtual ~StoreListener() = default;
  /// Called on the store duty's thread. Waits for room; false when the change was not taken in.
  virtual bool OnChange(RouteCommand change) = 0;
  virtual void OnPeers(const std::vector<PeerRecord>& peers) = 0;
};

/// What the store duty is told to do.
struct StoreOrder {
  /// Rollout state to be written, if set.
  std::optional<RolloutProgress> progress;
  /// New address of the store, if set.
  std::optional<Address> store;
  /// Until when the other entries vouch for the operator's orders, if set.
  std::optional<MonotonicTime> peers_cover;
};

/// Duty that watches the store's tables and writes the router's rows.
///
/// Each table is listed once and then followed by a feed. What is known stays in force while the
/// store is away; how old it is travels with each change.
class StoreDuty {
 public:
  StoreDuty(const Address& store, PeerRecord self, const DirectoryCodec& codec,
            const StoreProtocol& protocol, const Clock& clock, StoreListener& listener,
            EventLog& log);
  ~StoreDuty() { Stop(); }

  void Start();
  void Stop();
  /// Any thread may call it; false when too many orders are waiting.
  bool Post(StoreOrder order) { return inbox_.TryPush(std::move(order)); }

 private:
  struct Watch {
    Watch(std::string name, std::chrono::milliseconds feed_wait,
          std::chrono::milliseconds gather_time, asio::any_io_executor executor,
          const Address& store)
        : table(std::move(name)),
          wait(feed_wait),
          gather(gather_time),
          channel(std::move(executor), store) {}

    std::string table;
    /// Longest time that the store holds a feed call.
    std::chrono::milliseconds wait;
    /// Pause after changes, so that one call brings those that follow closely.
    std::chrono::milliseconds gather;
    AsyncHttpChannel channel;
    bool listed = false;
    bool failing = false;
    std::uint32_t failures = 0;
    std::uint64_t revision = 0;
    /// Revision of each row that the listener knows.
    std::map<std::string, std::uint64_t> known;
    /// When the store answered again after a failure.
    MonotonicTime regained{};
    /// Rows that went missing around an outage, with the time until which they may come back.
    std::map<std::string, MonotonicTime> lapsed;
  };

  using Emit = bool (StoreDuty::*)(const std::vector<StoreRow>& rows);

  asio::awaitable<void> Follow(Watch& watch, Emit emit);
  asio::awaitable<bool> ListAll(Watch& watch, Emit emit);
  asio::awaitable<bool> Poll(Watch& watch, Emit emit);
  /// Answer of the store; empty after a failure, which is logged.
  asio::awaitable<std::optional<StoreAnswer>> Ask(Watch& watch, HttpRequest request,
                                                  std::chrono::milliseconds timeout);
  asio::awaitable<void> Pause(std::chrono::milliseconds time);
  asio::awaitable<void> Announce();
  asio::awaitable<void> WriteProgress(RolloutProgress progress);

  void NoteFailure(Watch& watch, const std::string& reason);
  void NoteSuccess(Watch& watch);
  /// Updates `known` and returns the rows that the listener must hear of.
  std::vector<StoreRow> Accept(Watch& watch, std::vector<StoreRow> rows);
  std::vector<StoreRow> MissingRows(const Watch& watch, const std::vector<StoreRow>& listed) const;
  std::vector<StoreRow> TakeExpired(Watch& watch);
  /// State of the operator's table as of the last answer.
  OperatorTableState Orders() const;
  std::chrono::milliseconds FeedWait(const Watch& watch) const;

  /// Hands changes to the listener. The table is listed again when it did not take them in.
  void Deliver(Watch& watch, Emit emit, const std::vector<StoreRow>& rows);
  bool EmitOperator(const std::vector<StoreRow>& rows);
  bool EmitEndpoints(const std::vector<StoreRow>& rows);
  bool EmitRouter(const std::vector<StoreRow>& rows);
  void Receive(StoreOrder& order);

  PeerRecord self_;
  const DirectoryCodec& codec_;
  const StoreProtocol& protocol_;
  const Clock& clock_;
  StoreListener& listener_;
  EventLog& log_;

  asio::io_context loop_{1};
  RingInbox<StoreOrder> inbox_;
  StoreClock store_clock_;
  MonotonicTime covered_until_{};
  MonotonicTime peers_cover_{};
  /// Store's clock when it last answered for the operator's table.
  std::chrono::milliseconds orders_until_{0};
  std::chrono::milliseconds store_now_{0};
  MonotonicTime store_read_{};
  Watch operator_watch_;
  Watch endpoint_watch_;
  Watch router_watch_;
  AsyncHttpChannel writer_;
  std::set<ServiceId> writing_;
  std::thread thread_;
};

}  // namespace bamboodock
