#pragma once

#include <atomic>
#include <deque>
#include <map>
#include <optional>
#include <shared_mutex>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "bamboodock/core/clock.h"
#include "bamboodock/standin/peak_rate.h"
#include "bamboodock/stores/host_list.h"
#include "bamboodock/stores/ratings.h"
#include "bamboodock/stores/table.h"

namespace bamboodock::standin {

/// Row whose version did not meet the condition of a transaction, with its current version.
struct RowConflict {
  std::string key;
  RowVersion version;
};

using CommitOutcome = std::variant<RowVersion, RowConflict>;

struct PlatformCounters {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t object_writes = 0;
  std::uint64_t peak_writes_per_second = 0;
  std::uint64_t rows = 0;
};

/// Tables, objects, hosts and ratings of the stand-in platform.
///
/// Thread-safe. Only the state duty calls the members that change it; queries run on connection
/// threads.
class PlatformState {
 public:
  /// @param host_lag Time until a change of the host list becomes visible to readers.
  PlatformState(const Clock& clock, Duration host_lag) : clock_(clock), host_lag_(host_lag) {}

  CommitOutcome Commit(const TableTransaction& transaction);
  bool PutObject(const ObjectHash& hash, std::string bytes);
  bool AnnounceHost(HostRecord host);
  /// Appends a rating and returns the cursor assigned to it.
  std::uint64_t AddRating(Rating rating);

  std::optional<TableRow> Read(const std::string& key) const;
  std::vector<TableRow> Scan(const std::string& prefix, std::size_t limit) const;
  std::optional<std::string> LoadObject(const ObjectHash& hash) const;
  std::vector<HostRecord> Hosts() const;
  std::vector<Rating> RatingsAfter(std::uint64_t cursor, std::size_t limit) const;
  PlatformCounters Counters() const;

 private:
  struct HostChange {
    MonotonicTime visible_at;
    HostRecord host;
  };

  const Clock& clock_;
  Duration host_lag_;
  mutable std::shared_mutex mutex_;
  std::map<std::string, TableRow> rows_;
  RowVersion last_version_;
  std::map<ObjectHash, std::string> objects_;
  std::map<HostId, HostRecord> hosts_;
  std::deque<HostChange> host_changes_;
  std::deque<Rating> ratings_;
  std::uint64_t last_cursor_ = 0;
  PeakRate write_rate_;
  PlatformCounters counters_;
  mutable std::atomic<std::uint64_t> reads_{0};
};

}  // namespace bamboodock::standin
