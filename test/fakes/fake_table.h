#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "bamboodock/stores/table.h"

namespace bamboodock {

/// In-memory table service with fault injection.
class FakeTable final : public TableCommands, public TableQueries {
 public:
  /// Fault of one commit.
  enum class CommitFault : std::uint8_t {
    kNone,
    /// Refused with `kStoreUnavailable`; not applied.
    kDown,
    /// Applied, but the answer is lost.
    kAnswerLost,
    /// Not applied, and the answer is lost.
    kRequestLost,
    /// Refused with `kStoreConflict`, as if another writer had changed the row first.
    kConflict,
  };

  /// Makes every commit and read fail with `kStoreUnavailable` while set.
  void SetDown(bool down) { down_ = down; }
  /// Queues the fault of one later commit; commits take the faults in order.
  void QueueFault(CommitFault fault) {
    const std::lock_guard lock(mutex_);
    faults_.push_back(fault);
  }

  Result<RowVersion> Commit(const TableTransaction& transaction) override {
    const std::lock_guard lock(mutex_);
    ++commits_;
    if (down_) return RaiseUnavailable();
    switch (TakeFault()) {
      case CommitFault::kDown:
        return RaiseUnavailable();
      case CommitFault::kRequestLost:
        return RaiseAnswerLost();
      case CommitFault::kConflict:
        return Raise(ResultCode::kStoreConflict, "injected conflict");
      case CommitFault::kAnswerLost:
        if (ConflictingKey(transaction).empty()) Apply(transaction);
        return RaiseAnswerLost();
      case CommitFault::kNone:
        break;
    }
    const std::string conflict = ConflictingKey(transaction);
    if (!conflict.empty()) return Raise(ResultCode::kStoreConflict, conflict);
    return Apply(transaction);
  }

  Result<std::optional<TableRow>> Read(const std::string& key) override {
    const std::lock_guard lock(mutex_);
    ++reads_;
    if (down_) return RaiseUnavailable();
    const auto row = rows_.find(key);
    if (row == rows_.end()) return std::optional<TableRow>();
    return std::optional<TableRow>(row->second);
  }

  Result<std::vector<TableRow>> Scan(const std::string& prefix, std::size_t limit) override {
    const std::lock_guard lock(mutex_);
    ++reads_;
    if (down_) return RaiseUnavailable();
    std::vector<TableRow> found;
    for (auto row = rows_.lower_bound(prefix); row != rows_.end(); ++row) {
      if (found.size() >= limit || !row->first.starts_with(prefix)) break;
      found.push_back(row->second);
    }
    return found;
  }

  /// Writes a row as another writer would; not subject to faults.
  RowVersion Write(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    return Apply({{}, {{key, value}}, {}});
  }

  /// Number of commits attempted, failed ones included.
  std::uint64_t commits() const { return commits_; }
  std::uint64_t reads() const { return reads_; }

 private:
  static boost::leaf::error_id RaiseUnavailable() {
    return Raise(ResultCode::kStoreUnavailable, "injected outage");
  }
  static boost::leaf::error_id RaiseAnswerLost() {
    return Raise(ResultCode::kStoreAnswerLost, "injected loss of the answer", RunState::kUnknown);
  }

  CommitFault TakeFault() {
    if (faults_.empty()) return CommitFault::kNone;
    const CommitFault fault = faults_.front();
    faults_.pop_front();
    return fault;
  }

  std::string ConflictingKey(const TableTransaction& transaction) const {
    for (const RowCondition& condition : transaction.conditions) {
      const auto row = rows_.find(condition.key);
      const RowVersion version = row == rows_.end() ? RowVersion() : row->second.version;
      if (version != condition.version) return condition.key;
    }
    return {};
  }

  RowVersion Apply(const TableTransaction& transaction) {
    last_version_ = last_version_.Next();
    for (const std::string& key : transaction.deletes) rows_.erase(key);
    for (const RowPut& put : transaction.puts) {
      rows_[put.key] = TableRow{put.key, put.value, last_version_};
    }
    return last_version_;
  }

  std::mutex mutex_;
  std::map<std::string, TableRow> rows_;
  RowVersion last_version_;
  std::deque<CommitFault> faults_;
  std::atomic<bool> down_{false};
  std::atomic<std::uint64_t> commits_{0};
  std::atomic<std::uint64_t> reads_{0};
};

}  // namespace bamboodock
