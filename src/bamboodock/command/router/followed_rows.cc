#include "bamboodock/command/router/followed_rows.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bamboodock {

bool FollowedRows::Remove(const StoreRow& row, MonotonicTime now,
                          std::vector<DeferredRemoval>& deferred) {
  if (!revisions_.contains(row.key) || deferred_removals_.contains(row.key)) return false;
  if (const auto until = grace_.KeepUntil(row.revision, now)) {
    deferred_removals_.emplace(row.key, *until);
    deferred.push_back({row.key, row.revision, *until});
    return false;
  }
  revisions_.erase(row.key);
  return true;
}

RowChanges FollowedRows::Update(std::vector<StoreRow> rows, MonotonicTime now) {
  RowChanges changes;
  for (StoreRow& row : rows) {
    if (row.deleted) {
      if (!Remove(row, now, changes.deferred)) continue;
    } else {
      deferred_removals_.erase(row.key);
      const auto [known, added] = revisions_.try_emplace(row.key, row.revision);
      if (!added && known->second > row.revision) {
        changes.ignored.push_back({row.key, row.revision, known->second});
      }
      if (!added && known->second >= row.revision) continue;
      known->second = row.revision;
    }
    changes.rows.push_back(std::move(row));
  }
  return changes;
}

RowChanges FollowedRows::Replace(std::vector<StoreRow> rows, std::uint64_t since,
                                 MonotonicTime now) {
  std::set<std::string> present;
  for (const StoreRow& row : rows) present.insert(row.key);
  for (const auto& [key, revision] : revisions_) {
    if (!present.contains(key)) rows.push_back({table_, key, "", since + 1, true});
  }
  return Update(std::move(rows), now);
}

std::vector<StoreRow> FollowedRows::TakeDueRemovals(MonotonicTime now) {
  std::vector<StoreRow> due;
  for (const auto& [key, until] : deferred_removals_) {
    if (until <= now) due.push_back({table_, key, "", 0, true});
  }
  for (const StoreRow& row : due) {
    deferred_removals_.erase(row.key);
    revisions_.erase(row.key);
  }
  return due;
}

std::optional<MonotonicTime> FollowedRows::NextRemoval() const {
  std::optional<MonotonicTime> next;
  for (const auto& [key, until] : deferred_removals_) next = std::min(next.value_or(until), until);
  return next;
}

void FollowedRows::Forget(const std::vector<StoreRow>& rows) {
  for (const StoreRow& row : rows) revisions_[row.key] = 0;
}

}  // namespace bamboodock
