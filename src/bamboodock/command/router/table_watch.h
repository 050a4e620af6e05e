#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "bamboodock/command/router/followed_rows.h"
#include "bamboodock/core/store_revision.h"
#include "bamboodock/core/units.h"
#include "bamboodock/transport/async_http_channel.h"

namespace bamboodock {

/// How a table of the store is followed.
struct TableTiming {
  /// Maximum time for which the store holds a feed call (long polling).
  std::chrono::milliseconds feed_wait;
  /// Delay after changes, so that one call returns several that follow closely.
  std::chrono::milliseconds batch_delay;
  /// Longest delay between retries while the store does not answer.
  std::chrono::milliseconds max_retry_delay;
  RowRetention retention;
};

extern const TableTiming kOperatorTiming;
extern const TableTiming kEndpointTiming;
extern const TableTiming kRouterTiming;

/// Connection and state with which the store duty follows one table.
struct TableWatch {
  TableWatch(const std::string& name, const TableTiming& table_timing,
             const RowSequences& sequences, const asio::any_io_executor& executor,
             const Address& store)
      : table(name),
        timing(table_timing),
        channel(executor, store),
        retry_timer(executor),
        rows(name, table_timing.retention, sequences) {}

  std::string table;
  TableTiming timing;
  AsyncHttpChannel channel;
  asio::steady_timer retry_timer;
  bool listed = false;
  MonotonicTime listed_at{};
  bool failing = false;
  std::uint32_t failures = 0;
  /// When the call in progress was sent; empty when there is none.
  std::optional<MonotonicTime> call_sent;
  /// Whether the next call is sent without a pause, since the last one was closed or has shown that
  /// the store has returned from a copy.
  bool send_again = false;
  MonotonicTime sent_again_at{};
  /// When the first and the last call failed, and how long the last one took.
  MonotonicTime failing_since{};
  MonotonicTime failed_at{};
  Duration last_failed_call{};
  MonotonicTime answered_at{};
  StoreRevision revision;
  FollowedRows rows;

  /// Delay before the next call after one that failed; empty to call at once.
  std::optional<std::chrono::milliseconds> TakeRetryDelay(MonotonicTime now);
};

}  // namespace bamboodock
