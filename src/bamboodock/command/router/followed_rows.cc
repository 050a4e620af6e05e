#include "bamboodock/command/router/followed_rows.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace bamboodock {
namespace {

/// A copy is some seconds old, so a row that was removed longer ago cannot come back with it.
constexpr std::chrono::seconds kRemovedRowMemory{60};
constexpr std::chrono::seconds kPruneInterval{5};
/// Writes of one row that are remembered. Writers change a row every few seconds at most.
constexpr std::size_t kRememberedWrites = 8;

WriteMark MarkOf(const StoreRow& row) {
  return {row.revision.number, XXH3_64bits(row.value.data(), row.value.size())};
}

std::set<std::string, std::less<>> KeysOf(const std::vector<StoreRow>& rows) {
  std::set<std::string, std::less<>> keys;
  for (const StoreRow& row : rows) keys.insert(row.key);
  return keys;
}

void Remember(std::vector<WriteMark>& writes, const WriteMark& write) {
  if (writes.size() >= kRememberedWrites) writes.erase(writes.begin());
  writes.push_back(write);
}

}  // namespace

void FollowedRows::Apply(StoreRow row, TrackedRow& tracked, RowChanges& changes) {
  tracked.revision = row.revision;
  tracked.value = row.value;
  tracked.removed = false;
  tracked.undelivered = false;
  Remember(tracked.writes, MarkOf(row));
  deferred_removals_.erase(row.key);
  outdated_rows_.erase(row.key);
  changes.rows.push_back(std::move(row));
}

void FollowedRows::Remove(const StoreRow& row, MonotonicTime now, RowChanges& changes) {
  const auto found = tracked_.find(row.key);
  if (found == tracked_.end()) return;
  TrackedRow& tracked = found->second;
  outdated_rows_.erase(row.key);
  if (tracked.removed && !tracked.undelivered) {
    tracked.revision = std::max(tracked.revision, row.revision);
    return;
  }
  const auto until = grace_.KeepUntil(row.revision, now);
  if (until && !tracked.undelivered) {
    if (!deferred_removals_.try_emplace(row.key, PendingRemoval{*until, std::nullopt}).second)
      return;
    changes.deferred.push_back({row.key, row.revision, *until});
    return;
  }
  deferred_removals_.erase(row.key);
  tracked.revision = std::max(tracked.revision, row.revision);
  tracked.removed = true;
  tracked.removed_at = now;
  tracked.undelivered = false;
  changes.rows.push_back(row);
}

ReturnedRowVerdict FollowedRows::Judge(const StoreRow& row, const TrackedRow& tracked) const {
  StoreRow known{table_, row.key, tracked.value, tracked.revision, false};
  return JudgeReturnedRow({tracked.writes, sequences_.SequenceOf(known), tracked.removed},
                          {MarkOf(row), sequences_.SequenceOf(row)});
}

void FollowedRows::UpdateReturnedRow(StoreRow row, TrackedRow& tracked, MonotonicTime now,
                                     RowChanges& changes) {
  const ReturnedRowVerdict verdict = Judge(row, tracked);
  if (verdict == ReturnedRowVerdict::kNewer) {
    Apply(std::move(row), tracked, changes);
    return;
  }
  deferred_removals_.erase(row.key);
  const StoreRevision known = std::exchange(tracked.revision, row.revision);
  if (verdict == ReturnedRowVerdict::kSurvived) {
    if (retention_.redelivers_survivors) changes.rows.push_back(std::move(row));
    return;
  }
  changes.ignored.push_back({row.key, row.revision, known});
  if (retention_.outdated_hold <= Duration::zero()) {
    changes.rows.push_back(std::move(row));
    return;
  }
  const std::string key = row.key;
  outdated_rows_.insert_or_assign(key, OutdatedRow{std::move(row), now + retention_.outdated_hold});
}

// Modelled in model/store_return.pml, inline Update.
void FollowedRows::UpdateRow(StoreRow row, MonotonicTime now, RowChanges& changes) {
  if (row.deleted) {
    Remove(row, now, changes);
    return;
  }
  const auto [found, added] = tracked_.try_emplace(row.key);
  TrackedRow& tracked = found->second;
  if (added || tracked.undelivered) {
    Apply(std::move(row), tracked, changes);
    return;
  }
  if (row.revision.era != tracked.revision.era) {
    UpdateReturnedRow(std::move(row), tracked, now, changes);
    return;
  }
  if (row.revision > tracked.revision) {
    Apply(std::move(row), tracked, changes);
    return;
  }
  deferred_removals_.erase(row.key);
  if (row.revision == tracked.revision) return;
  changes.ignored.push_back({row.key, row.revision, tracked.revision});
}

RowChanges FollowedRows::Update(std::vector<StoreRow> rows, MonotonicTime now) {
  RowChanges changes;
  for (StoreRow& row : rows) UpdateRow(std::move(row), now, changes);
  Prune(now);
  return changes;
}

void FollowedRows::KeepMissing(const std::string& key, StoreRevision listed, MonotonicTime now,
                               RowChanges& changes) {
  const auto [found, added] = deferred_removals_.try_emplace(key);
  PendingRemoval& removal = found->second;
  if (!added && removal.missing_since == listed.era) return;
  removal = {now + retention_.missing_grace, listed.era};
  changes.deferred.push_back({key, listed, removal.until});
}

// Modelled in model/store_return.pml, inline UpdateAbsent.
RowChanges FollowedRows::Replace(std::vector<StoreRow> rows, StoreRevision since,
                                 StoreRevision listed, MonotonicTime now) {
  const std::set<std::string, std::less<>> present = KeysOf(rows);
  RowChanges missing;
  for (const auto& [key, tracked] : tracked_) {
    if (present.contains(key) || (tracked.removed && !tracked.undelivered)) continue;
    if (tracked.revision.era != listed.era && !tracked.undelivered) {
      KeepMissing(key, listed, now, missing);
    } else {
      rows.push_back({table_, key, "", {listed.era, since.number + 1}, true});
    }
  }
  RowChanges changes = Update(std::move(rows), now);
  changes.deferred.insert(changes.deferred.end(), missing.deferred.begin(), missing.deferred.end());
  return changes;
}

std::vector<StoreRow> FollowedRows::TakeDue(MonotonicTime now) {
  std::vector<StoreRow> due;
  std::erase_if(deferred_removals_, [&](const auto& entry) {
    const auto& [key, removal] = entry;
    if (removal.until > now) return false;
    due.push_back({table_, key, "", {}, true});
    if (removal.missing_since) {
      tracked_.erase(key);
    } else {
      TrackedRow& tracked = tracked_.at(key);
      tracked.removed = true;
      tracked.removed_at = now;
    }
    return true;
  });
  RowChanges outdated;
  while (true) {
    const auto next = std::find_if(outdated_rows_.begin(), outdated_rows_.end(),
                                   [&](const auto& entry) { return entry.second.until <= now; });
    if (next == outdated_rows_.end()) break;
    StoreRow row = std::move(next->second.row);
    outdated_rows_.erase(next);
    TrackedRow& tracked = tracked_[row.key];
    Apply(std::move(row), tracked, outdated);
  }
  due.insert(due.end(), outdated.rows.begin(), outdated.rows.end());
  return due;
}

std::optional<MonotonicTime> FollowedRows::NextDue() const {
  std::optional<MonotonicTime> next;
  for (const auto& [key, removal] : deferred_removals_) {
    next = std::min(next.value_or(removal.until), removal.until);
  }
  for (const auto& [key, outdated] : outdated_rows_) {
    next = std::min(next.value_or(outdated.until), outdated.until);
  }
  return next;
}

void FollowedRows::Forget(const std::vector<StoreRow>& rows) {
  for (const StoreRow& row : rows) tracked_[row.key].undelivered = true;
}

std::uint64_t FollowedRows::Digest() const {
  std::uint64_t digest = 0;
  for (const auto& [key, tracked] : tracked_) {
    const bool in_force = !tracked.removed && !deferred_removals_.contains(key);
    if (!in_force && !outdated_rows_.contains(key)) continue;
    // Adds the hashes, since a sum does not depend on the order of the rows.
    digest += XXH3_64bits_withSeed(key.data(), key.size(), tracked.revision.number);
  }
  return digest;
}

void FollowedRows::Prune(MonotonicTime now) {
  if (now - pruned_at_ < kPruneInterval) return;
  pruned_at_ = now;
  std::erase_if(tracked_, [&](const auto& entry) {
    const auto& [key, tracked] = entry;
    return tracked.removed && !tracked.undelivered && !outdated_rows_.contains(key) &&
           now - tracked.removed_at > kRemovedRowMemory;
  });
}

}  // namespace bamboodock
