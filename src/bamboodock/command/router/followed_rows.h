#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bamboodock/policy/registration_grace.h"
#include "bamboodock/routing/directory_codec.h"

namespace bamboodock {

/// Removal that is held back, since the row may return.
struct DeferredRemoval {
  std::string key;
  /// Revision of the removal, or the first one that it can have.
  std::uint64_t revision = 0;
  MonotonicTime until;
};

/// Row of an answer that changes nothing, since a newer one is known.
struct IgnoredRow {
  std::string key;
  std::uint64_t revision = 0;
  std::uint64_t known_revision = 0;
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
/// holds back removals that may be due to an outage.
class FollowedRows {
 public:
  /// @param grace Time for which removals are held back after an outage; zero to hold back none.
  FollowedRows(std::string table, Duration grace) : table_(std::move(table)), grace_(grace) {}

  /// @copydoc RegistrationGrace::OnOutage
  void OnOutage() { grace_.OnOutage(); }
  /// @copydoc RegistrationGrace::OnAnswer
  void OnAnswer(std::uint64_t revision, MonotonicTime now) { grace_.OnAnswer(revision, now); }
  std::uint64_t return_revision() const { return grace_.return_revision(); }

  /// Applies rows of the change feed.
  RowChanges Update(std::vector<StoreRow> rows, MonotonicTime now);
  /// Applies a listing of the whole table. Rows that it lacks were removed later than `since`, the
  /// revision that was known before.
  RowChanges Replace(std::vector<StoreRow> rows, std::uint64_t since, MonotonicTime now);
  /// Removals whose time is over.
  std::vector<StoreRow> TakeDueRemovals(MonotonicTime now);
  /// When the next removal is due; empty when none is held back.
  std::optional<MonotonicTime> NextRemoval() const;
  /// Forgets the revisions of rows that were not accepted, so that the next listing delivers them
  /// again, as deleted if they no longer exist.
  void Forget(const std::vector<StoreRow>& rows);

  const std::map<std::string, std::uint64_t>& revisions() const { return revisions_; }

 private:
  /// Whether the removal takes effect now; otherwise it is held back or of a row that is not known.
  bool Remove(const StoreRow& row, MonotonicTime now, std::vector<DeferredRemoval>& deferred);

  std::string table_;
  RegistrationGrace grace_;
  /// Revision of each row that has been delivered.
  std::map<std::string, std::uint64_t> revisions_;
  /// When the removal of a row is delivered unless the row is back.
  std::map<std::string, MonotonicTime> deferred_removals_;
};

}  // namespace bamboodock
