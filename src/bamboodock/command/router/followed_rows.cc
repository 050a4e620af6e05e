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

void FollowedRows::OnOutage() {
  grace_.OnOutage();
  held_.OnOutage();
}

void FollowedRows::OnAnswer(StoreRevision revision, MonotonicTime now) {
  grace_.OnAnswer(revision, now);
  held_.OnAnswer(now);
}

bool FollowedRows::MayBeOfCopy(StoreRevision revision) const {
  const bool is_listed = first_listing_.era == revision.era;
  return !is_listed || revision <= first_listing_;
}

void FollowedRows::ReleaseHolds(const std::string& key) {
  deferred_removals_.erase(key);
  held_.Release(key);
}

void FollowedRows::Apply(StoreRow row, TrackedRow& tracked, RowChanges& changes) {
  ReleaseHolds(row.key);
  tracked.read = row.revision;
  tracked.in_force = row.revision;
  tracked.value = row.value;
  tracked.removed = false;
  tracked.undelivered = false;
  Remember(tracked.writes, MarkOf(row));
  changes.rows.push_back(std::move(row));
}

void FollowedRows::Remove(const StoreRow& row, MonotonicTime now, RowChanges& changes) {
  const auto found = tracked_.find(row.key);
  if (found == tracked_.end()) return;
  TrackedRow& tracked = found->second;
  held_.Release(row.key);
  if (tracked.removed && !tracked.undelivered) {
    tracked.read = std::max(tracked.read, row.revision);
    return;
  }
  const auto until = grace_.KeepUntil(row.revision, now);
  if (until && !tracked.undelivered) {
    if (!deferred_removals_.try_emplace(row.key, *until).second) return;
    changes.deferred.push_back({row.key, row.revision, *until});
    return;
  }
  deferred_removals_.erase(row.key);
  tracked.read = std::max(tracked.read, row.revision);
  tracked.in_force = tracked.read;
  tracked.removed = true;
  tracked.removed_at = now;
  tracked.undelivered = false;
  changes.rows.push_back(row);
}

ReturnedRowVerdict FollowedRows::Judge(const StoreRow& row, const TrackedRow& tracked) const {
  const StoreRow known{table_, row.key, tracked.value, tracked.in_force, false};
  return JudgeReturnedRow({tracked.writes, sequences_.SequenceOf(known), tracked.removed},
                          {MarkOf(row), sequences_.SequenceOf(row), MayBeOfCopy(row.revision)});
}

void FollowedRows::UpdateReturnedRow(StoreRow row, TrackedRow& tracked, MonotonicTime now,
                                     RowChanges& changes) {
  const bool is_known = row.revision == tracked.read && held_.HoldsRow(row.key);
  if (is_known) return;
  const ReturnedRowVerdict verdict = Judge(row, tracked);
  if (verdict == ReturnedRowVerdict::kNewer) {
    Apply(std::move(row), tracked, changes);
    return;
  }
  deferred_removals_.erase(row.key);
  tracked.read = row.revision;
  if (verdict == ReturnedRowVerdict::kSurvived) {
    held_.Release(row.key);
    tracked.in_force = row.revision;
    if (retention_.redelivers_survivors) changes.rows.push_back(std::move(row));
    return;
  }
  changes.ignored.push_back({row.key, row.revision, tracked.in_force});
  if (retention_.outdated_hold <= Duration::zero()) {
    changes.rows.push_back(std::move(row));
    return;
  }
  held_.Hold(std::move(row), retention_.outdated_hold, now);
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
  if (row.revision.era != tracked.in_force.era) {
    UpdateReturnedRow(std::move(row), tracked, now, changes);
    return;
  }
  if (row.revision > tracked.read) {
    Apply(std::move(row), tracked, changes);
    return;
  }
  ReleaseHolds(row.key);
  if (row.revision == tracked.read) return;
  changes.ignored.push_back({row.key, row.revision, tracked.in_force});
}

RowChanges FollowedRows::Update(std::vector<StoreRow> rows, MonotonicTime now) {
  RowChanges changes;
  for (StoreRow& row : rows) UpdateRow(std::move(row), now, changes);
  Prune(now);
  return changes;
}

void FollowedRows::KeepMissing(const std::string& key, StoreEra era, MonotonicTime now,
                               RowChanges& changes) {
  if (held_.MissingSince(key) == era) return;
  const StoreRow missing{table_, key, "", {era, 0}, true};
  held_.Hold(missing, retention_.missing_grace, now);
  deferred_removals_.erase(key);
  changes.deferred.push_back({key, missing.revision, now + retention_.missing_grace});
}

// Modelled in model/store_return.pml, inline UpdateAbsent.
void FollowedRows::ForgetLostRemovals(StoreRevision since, StoreRevision listed) {
  if (listed.era != since.era || listed.number >= since.number) return;
  std::erase_if(tracked_, [&](const auto& entry) {
    const TrackedRow& tracked = entry.second;
    return tracked.removed && !tracked.undelivered && tracked.read > listed;
  });
}

RowChanges FollowedRows::Replace(std::vector<StoreRow> rows, StoreRevision since,
                                 StoreRevision listed, MonotonicTime now) {
  if (first_listing_.era != listed.era) first_listing_ = listed;
  ForgetLostRemovals(since, listed);
  // A position of another era says nothing about when rows were removed.
  const std::uint64_t removed_at =
      since.era == listed.era ? std::min(since.number + 1, listed.number) : listed.number;
  const std::set<std::string, std::less<>> present = KeysOf(rows);
  RowChanges missing;
  for (const auto& [key, tracked] : tracked_) {
    if (present.contains(key)) continue;
    if (tracked.removed && !tracked.undelivered) {
      held_.Release(key);
      continue;
    }
    if (tracked.read.era != listed.era && !tracked.undelivered) {
      KeepMissing(key, listed.era, now, missing);
    } else {
      rows.push_back({table_, key, "", {listed.era, removed_at}, true});
    }
  }
  RowChanges changes = Update(std::move(rows), now);
  changes.deferred.insert(changes.deferred.end(), missing.deferred.begin(), missing.deferred.end());
  return changes;
}

std::vector<StoreRow> FollowedRows::TakeDueRemovals(MonotonicTime now) {
  std::vector<StoreRow> due;
  std::erase_if(deferred_removals_, [&](const auto& entry) {
    const auto& [key, until] = entry;
    if (until > now) return false;
    due.push_back({table_, key, "", {}, true});
    TrackedRow& tracked = tracked_.at(key);
    tracked.in_force = tracked.read;
    tracked.removed = true;
    tracked.removed_at = now;
    return true;
  });
  return due;
}

std::vector<StoreRow> FollowedRows::TakeDueHeldRows(MonotonicTime now) {
  RowChanges due;
  for (StoreRow& row : held_.TakeDue(now)) {
    if (row.deleted) {
      // Not remembered as removed, since its writer may write the same row again.
      tracked_.erase(row.key);
      due.rows.push_back(std::move(row));
    } else {
      TrackedRow& tracked = tracked_[row.key];
      Apply(std::move(row), tracked, due);
    }
  }
  return std::move(due.rows);
}

std::vector<StoreRow> FollowedRows::TakeDue(MonotonicTime now) {
  std::vector<StoreRow> due = TakeDueRemovals(now);
  for (StoreRow& row : TakeDueHeldRows(now)) due.push_back(std::move(row));
  return due;
}

std::optional<MonotonicTime> FollowedRows::NextDue() const {
  std::optional<MonotonicTime> next = held_.NextDue();
  for (const auto& [key, until] : deferred_removals_) next = std::min(next.value_or(until), until);
  return next;
}

void FollowedRows::Forget(const std::vector<StoreRow>& rows) {
  for (const StoreRow& row : rows) tracked_[row.key].undelivered = true;
}

std::uint64_t FollowedRows::Digest() const {
  std::uint64_t digest = 0;
  for (const auto& [key, tracked] : tracked_) {
    const bool in_force = !tracked.removed && !deferred_removals_.contains(key);
    const bool is_missing = held_.MissingSince(key).has_value();
    if ((!in_force || is_missing) && !held_.HoldsRow(key)) continue;
    // Adds the hashes, since a sum does not depend on the order of the rows.
    digest += XXH3_64bits_withSeed(key.data(), key.size(), tracked.read.number);
  }
  return digest;
}

void FollowedRows::Prune(MonotonicTime now) {
  if (now - pruned_at_ < kPruneInterval) return;
  pruned_at_ = now;
  std::erase_if(tracked_, [&](const auto& entry) {
    const auto& [key, tracked] = entry;
    return tracked.removed && !tracked.undelivered && !held_.HoldsRow(key) &&
           now - tracked.removed_at > kRemovedRowMemory;
  });
}

}  // namespace bamboodock
