#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "bamboodock/command/router/route_commands.h"
#include "bamboodock/command/router/router_counters.h"
#include "bamboodock/command/router/row_decoder.h"
#include "bamboodock/command/router/store_return_progress.h"
#include "bamboodock/command/router/store_writer.h"
#include "bamboodock/command/router/table_watch.h"
#include "bamboodock/core/clock.h"
#include "bamboodock/observe/event_log.h"
#include "bamboodock/policy/store_clock.h"
#include "bamboodock/policy/store_era_tracker.h"
#include "bamboodock/routing/directory_codec.h"
#include "bamboodock/routing/store_protocol.h"
#include "bamboodock/transport/ring_inbox.h"

namespace bamboodock {

/// Receives changes from the store, on the store duty's thread.
class StoreListener {
 public:
  virtual ~StoreListener() = default;
  /// May wait for room in a ring. Returns false when the change was not accepted, and will be
  /// delivered again.
  virtual bool OnChange(RouteCommand change) = 0;
  virtual void OnPeers(const std::vector<PeerRecord>& peers) = 0;
};

/// What the other entries have read from the store.
struct PeerKnowledge {
  /// Time up to which they have confirmed the operator's orders.
  MonotonicTime covered_until{};
  /// Highest era that they have named.
  StoreEra era;
};

/// Command to the store duty.
struct StoreCommand {
  /// Rollout state to write to the store, if set; dropped when the era of its expected revision is
  /// over.
  std::optional<RolloutProgress> progress;
  /// New address of the store, if set.
  std::optional<Address> store;
  std::optional<PeerKnowledge> peers;
};

/// Duty that watches the tables of the store and writes the rows of the router.
///
/// Each table is listed once and then followed through its change feed. While the store is
/// unavailable the last known state remains valid; its age is passed on with each change. The first
/// answer for one table after an outage makes the others try at once. The first answer of a new era
/// has all tables listed again (docs/design/store-return.md).
class StoreDuty {
 public:
  StoreDuty(const Address& store, const PeerRecord& self, const DirectoryCodec& codec,
            const StoreProtocol& protocol, const Clock& clock, StoreListener& listener,
            EventLog& log, RouterCounters& counters);
  ~StoreDuty() { Stop(); }

  void Start();
  void Stop();
  /// Any thread may call it; false when the ring is full.
  bool Post(StoreCommand command) { return inbox_.TryPush(std::move(command)); }

 private:
  static constexpr std::size_t kTables = 3;
  using Emit = bool (StoreDuty::*)(const std::vector<StoreRow>& rows);

  asio::awaitable<void> Follow(TableWatch& watch, Emit emit);
  asio::awaitable<bool> ListAll(TableWatch& watch, Emit emit);
  asio::awaitable<bool> Poll(TableWatch& watch, Emit emit);
  /// Sends a request; returns the answer of the store, or empty after a failure, which is logged.
  asio::awaitable<std::optional<StoreAnswer>> Query(TableWatch& watch, HttpRequest request,
                                                    std::chrono::milliseconds timeout);
  /// Waits until the time is over or `retry_timer` of the table is cancelled.
  static asio::awaitable<void> Pause(TableWatch& watch, std::chrono::milliseconds time);
  asio::awaitable<void> PauseBeforeRetry(TableWatch& watch);

  void RecordFailure(TableWatch& watch, MonotonicTime sent, const std::string& reason);
  void RecordSuccess(TableWatch& watch, const StoreAnswer& answer);
  /// Has the table listed again; the store answers, so this is no outage.
  void RecordHistoryLoss(TableWatch& watch);
  void MarkFailing(TableWatch& watch, const std::string& reason, Duration call_time);
  /// Takes note of the era of an answer; returns whether the answer may be used.
  ///
  /// @param source Table or write that the answer belongs to, for the log.
  bool IsOfPresentEra(const HttpResponse& response, MonotonicTime sent, std::string_view source);
  /// Has all tables listed and the row of this entry written again.
  void OnStoreReturned(StoreEra previous, std::string_view noticed_by);
  /// Lists the table at once; a call in progress is closed.
  static void ListAgain(TableWatch& watch);
  void OnPeerKnowledge(const PeerKnowledge& peers);
  /// Sends the calls for the other tables again that were sent before the store answered this one,
  /// since a call that is sent into an outage may never be answered.
  void RestartOtherCalls(const TableWatch& recovered);
  /// When the store last answered a call for another table.
  MonotonicTime AnsweredElsewhereAt(const TableWatch& watch) const;
  /// Logs and counts the rows of an answer that are not delivered.
  void RecordHeldBack(const TableWatch& watch, const RowChanges& changes);
  /// Logs what the listings after a return have shown, with the last table of it.
  void RecordListing(const TableWatch& watch, const RowChanges& changes);
  /// Digest of the known rows of the operator's table and the store time of the last answer.
  OperatorTableState Coverage() const;
  std::array<TableWatch*, kTables> Watches() {
    return {&operator_watch_, &endpoint_watch_, &router_watch_};
  }
  std::chrono::milliseconds FeedWait(const TableWatch& watch) const;
  /// Time until the next held row is due, at most `longest`.
  std::chrono::milliseconds UntilNextDue(const TableWatch& watch,
                                         std::chrono::milliseconds longest) const;
  /// Part of a time span that depends on the host, so that entries do not act at the same moment.
  std::chrono::milliseconds SpreadOverHosts(std::chrono::milliseconds longest) const;

  /// Delivers changes to the listener. If it does not accept them, the table is listed again.
  void Deliver(TableWatch& watch, Emit emit, const std::vector<StoreRow>& rows);
  bool EmitOperator(const std::vector<StoreRow>& rows);
  bool EmitEndpoints(const std::vector<StoreRow>& rows);
  bool EmitRouter(const std::vector<StoreRow>& rows);
  void HandleCommand(StoreCommand& command);

  HostId self_;
  RowDecoder decoder_;
  const StoreProtocol& protocol_;
  const Clock& clock_;
  StoreListener& listener_;
  EventLog& log_;
  RouterCounters& counters_;

  asio::io_context loop_{1};
  RingInbox<StoreCommand> inbox_;
  StoreEraTracker era_;
  StoreReturnProgress return_progress_{kTables};
  /// Era of another entry for which the store was asked last.
  StoreEra checked_era_;
  StoreClock store_clock_;
  MonotonicTime covered_until_{};
  MonotonicTime peers_covered_until_{};
  /// Store's clock in the last answer for the operator's table.
  std::chrono::milliseconds orders_covered_until_{0};
  std::chrono::milliseconds store_now_{0};
  MonotonicTime store_read_{};
  TableWatch operator_watch_;
  TableWatch endpoint_watch_;
  TableWatch router_watch_;
  StoreWriter writer_;
  std::thread thread_;
};

}  // namespace bamboodock
