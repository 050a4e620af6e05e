#include "bamboodock/standin/platform_state.h"

#include <mutex>

namespace bamboodock::standin {
namespace {

constexpr std::size_t kMaxRatings = 100000;

}  // namespace

CommitOutcome PlatformState::Commit(const TableTransaction& transaction) {
  const std::lock_guard lock(mutex_);
  for (const RowCondition& condition : transaction.conditions) {
    const auto row = rows_.find(condition.key);
    const RowVersion version = row == rows_.end() ? RowVersion() : row->second.version;
    if (version == condition.version) continue;
    ++counters_.conflicts;
    return RowConflict{condition.key, version};
  }
  last_version_ = last_version_.Next();
  for (const std::string& key : transaction.deletes) rows_.erase(key);
  for (const RowPut& put : transaction.puts) {
    rows_[put.key] = TableRow{put.key, put.value, last_version_};
  }
  ++counters_.writes;
  write_rate_.Add(clock_.Now());
  return last_version_;
}

bool PlatformState::PutObject(const ObjectHash& hash, std::string bytes) {
  const std::lock_guard lock(mutex_);
  objects_[hash] = std::move(bytes);
  ++counters_.object_writes;
  return true;
}

bool PlatformState::AnnounceHost(HostRecord host) {
  const std::lock_guard lock(mutex_);
  const MonotonicTime now = clock_.Now();
  while (!host_changes_.empty() && host_changes_.front().visible_at <= now) {
    HostRecord& oldest = host_changes_.front().host;
    hosts_[oldest.id] = std::move(oldest);
    host_changes_.pop_front();
  }
  host_changes_.push_back({now + host_lag_, std::move(host)});
  return true;
}

std::uint64_t PlatformState::AddRating(Rating rating) {
  const std::lock_guard lock(mutex_);
  rating.cursor = ++last_cursor_;
  ratings_.push_back(std::move(rating));
  if (ratings_.size() > kMaxRatings) ratings_.pop_front();
  return last_cursor_;
}

std::optional<TableRow> PlatformState::Read(const std::string& key) const {
  ++reads_;
  const std::shared_lock lock(mutex_);
  const auto row = rows_.find(key);
  if (row == rows_.end()) return {};
  return row->second;
}

std::vector<TableRow> PlatformState::Scan(const std::string& prefix, std::size_t limit) const {
  ++reads_;
  const std::shared_lock lock(mutex_);
  std::vector<TableRow> found;
  for (auto row = rows_.lower_bound(prefix); row != rows_.end(); ++row) {
    if (found.size() >= limit || !row->first.starts_with(prefix)) break;
    found.push_back(row->second);
  }
  return found;
}

std::optional<std::string> PlatformState::LoadObject(const ObjectHash& hash) const {
  ++reads_;
  const std::shared_lock lock(mutex_);
  const auto object = objects_.find(hash);
  if (object == objects_.end()) return {};
  return object->second;
}

std::vector<HostRecord> PlatformState::Hosts() const {
  const std::shared_lock lock(mutex_);
  std::map<HostId, HostRecord> visible = hosts_;
  for (const HostChange& change : host_changes_) {
    if (change.visible_at > clock_.Now()) break;
    visible[change.host.id] = change.host;
  }
  std::vector<HostRecord> hosts;
  hosts.reserve(visible.size());
  for (auto& [id, host] : visible) hosts.push_back(std::move(host));
  return hosts;
}

std::vector<Rating> PlatformState::RatingsAfter(std::uint64_t cursor, std::size_t limit) const {
  const std::shared_lock lock(mutex_);
  std::vector<Rating> found;
  for (const Rating& rating : ratings_) {
    if (found.size() >= limit) break;
    if (rating.cursor > cursor) found.push_back(rating);
  }
  return found;
}

PlatformCounters PlatformState::Counters() const {
  const std::shared_lock lock(mutex_);
  PlatformCounters counters = counters_;
  counters.reads = reads_;
  counters.peak_writes_per_second = write_rate_.peak();
  counters.rows = rows_.size();
  return counters;
}

}  // namespace bamboodock::standin
