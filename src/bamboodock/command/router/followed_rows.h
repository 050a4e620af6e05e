#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboodock/command/router/held_rows.h"
#include "bamboodock/policy/registration_grace.h"
#include "bamboodock/routing/directory_codec.h"
#include "bamboodock/routing/row_sequences.h"

namespace bamboodock {

/// How long the rows of a table outlast what the store has lost.
struct RowRetention {
  /// Time for which removals are held back after an outage; zero to hold back none.
  Duration expiry_grace{};
  /// Time for which rows are kept that are missing after the store has returned from an older copy.
  Duration missing_grace{};
  /// Time for which an outdated row of the copy is held back; zero to deliver it at once.
  Duration outdated_hold{};
  /// Whether rows that the copy still holds are delivered again, with their new revision.
  bool redelivers_survivors = false;
};

/// Removal that is held back, since the row may return.
struct DeferredRemoval {
  std::string key;
  /// Revision of the removal, or the first one that it can have; number 0 for a row that an older
  /// copy lacks.
  StoreRevision revision;
  MonotonicTime until;
};

/// Row of an answer that changes nothing, since a newer one is known.
struct IgnoredRow {
  std::string key;
  StoreRevision revision;
  StoreRevision known_revision;
};

/// Rows to deliver after an answer of the store.
struct RowChanges {
  std::vector<StoreRow> rows;
  /// Removals that this answer has added to those held back.
  std::vector<DeferredRemoval> deferred;
  /// Rows of this answer that are older than the known ones.
  std::vector<IgnoredRow> ignored;
};

/// Rows of one table as delivered so far. Finds out what changes with an answer of the store, and
/// holds back what may be due to an outage or to an older copy.
class FollowedRows {
 public:
  FollowedRows(std::string table, const RowRetention& retention, const RowSequences& sequences)
      : table_(std::move(table)),
        retention_(retention),
        sequences_(sequences),
        grace_(retention.expiry_grace) {}

  /// Records that the store did not answer.
  void OnOutage();
  /// Records an answer of the store with its newest revision.
  void OnAnswer(StoreRevision revision, MonotonicTime now);
  StoreRevision return_revision() const { return grace_.return_revision(); }

  /// Applies rows of the change feed.
  RowChanges Update(std::vector<StoreRow> rows, MonotonicTime now);
  /// Applies a listing of the whole table. Rows that it lacks were removed later than `since`, the
  /// revision that was known before, or are missing from an older copy if `listed` is of another
  /// era than they are.
  RowChanges Replace(std::vector<StoreRow> rows, StoreRevision since, StoreRevision listed,
                     MonotonicTime now);
  /// Rows and removals that are held back no longer.
  std::vector<StoreRow> TakeDue(MonotonicTime now);
  /// When the next row or removal is due; empty when none is held back.
  std::optional<MonotonicTime> NextDue() const;
  /// Has the next listing deliver these rows again, as deleted if they no longer exist.
  void Forget(const std::vector<StoreRow>& rows);

  /// Digest of the keys and revisions of the rows that the store holds.
  std::uint64_t Digest() const;
  /// Number of rows and removals that are held back.
  std::size_t held_back() const { return deferred_removals_.size() + held_.size(); }

 private:
  struct TrackedRow {
    /// Revision under which the store holds the row, as far as it was read.
    StoreRevision read;
    /// Revision of the state that was delivered last. Rows of other eras are judged against this
    /// state until the store holds it, or a newer one, in its present era.
    StoreRevision in_force;
    /// Value that was delivered last; the listener may have rejected it.
    std::string value;
    /// Known writes of this row, newest last.
    std::vector<WriteMark> writes;
    bool removed = false;
    MonotonicTime removed_at{};
    /// Whether the next listing delivers the row whatever its revision.
    bool undelivered = false;
  };

  void UpdateRow(StoreRow row, MonotonicTime now, RowChanges& changes);
  void UpdateReturnedRow(StoreRow row, TrackedRow& tracked, MonotonicTime now, RowChanges& changes);
  ReturnedRowVerdict Judge(const StoreRow& row, const TrackedRow& tracked) const;
  void Apply(StoreRow row, TrackedRow& tracked, RowChanges& changes);
  void Remove(const StoreRow& row, MonotonicTime now, RowChanges& changes);
  /// Holds back the removal of a row that an older copy lacks.
  void KeepMissing(const std::string& key, StoreEra era, MonotonicTime now, RowChanges& changes);
  /// Whether the row may have come with the copy of its era, and was not written since.
  bool MayBeOfCopy(StoreRevision revision) const;
  /// Forgets removals if the store has lost revisions without a new era.
  void ForgetLostRemovals(StoreRevision since, StoreRevision listed);
  /// Ends what is held back for a key.
  void ReleaseHolds(const std::string& key);
  std::vector<StoreRow> TakeDueRemovals(MonotonicTime now);
  std::vector<StoreRow> TakeDueHeldRows(MonotonicTime now);
  /// Forgets rows that were removed so long ago that no copy can hold them.
  void Prune(MonotonicTime now);

  std::string table_;
  RowRetention retention_;
  const RowSequences& sequences_;
  RegistrationGrace grace_;
  std::map<std::string, TrackedRow, std::less<>> tracked_;
  /// Removals that the store has stated and that are delivered unless the row is back.
  std::map<std::string, MonotonicTime, std::less<>> deferred_removals_;
  HeldRows held_;
  /// Revision of the first listing of the present era.
  StoreRevision first_listing_;
  MonotonicTime pruned_at_{};
};

}  // namespace bamboodock
