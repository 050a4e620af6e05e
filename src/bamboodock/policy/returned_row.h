#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace bamboodock {

/// Order of the states of one row that their writer states itself, so that it holds whatever the
/// store has lost.
struct WriterSequence {
  /// Start of the writer; a later start supersedes all states of the one before.
  std::int64_t start = 0;
  /// Increases with each state of one start.
  std::uint64_t number = 0;

  friend constexpr auto operator<=>(const WriterSequence&,
                                    const WriterSequence&) =
      default;  // NOLINT(modernize-use-nullptr)
};

/// Tells one write of a row from the other writes of the same row.
struct WriteMark {
  /// Number of the revision in the era of the write.
  std::uint64_t revision = 0;
  /// Digest of the value.
  std::uint64_t digest = 0;

  friend constexpr bool operator==(const WriteMark&, const WriteMark&) = default;
};

/// What is known of a row from before the store has returned from an older copy.
struct RowBeforeReturn {
  /// Writes that are known, newest last; at least one.
  std::vector<WriteMark> writes;
  /// Order of the newest write; empty when it states none.
  std::optional<WriterSequence> sequence;
  /// Whether the row was removed after its newest write.
  bool removed = false;
};

/// A row as the store holds it after its return.
struct RowAfterReturn {
  WriteMark write;
  std::optional<WriterSequence> sequence;
  /// Whether the copy may have held the row; otherwise it was written after the return.
  bool may_be_of_copy = true;
};

enum class ReturnedRowVerdict : std::uint8_t {
  /// The newest known write, which the copy still holds.
  kSurvived,
  /// A state that the known one supersedes.
  kOutdated,
  /// Written after the known state, as far as can be told.
  kNewer,
};

/// Judges a row that the store holds after it has returned from an older copy.
///
/// The copy holds earlier states of rows, and writers write lost ones again under revisions that
/// were given out before, so the revisions of both histories cannot be compared. A known write that
/// the copy may have held counts for what it was; others are ordered by their writer, and a row
/// without such an order counts as newer. After a removal a row is the removed state if its order
/// is equal, or if it is of the same start and the copy may have held it.
ReturnedRowVerdict JudgeReturnedRow(const RowBeforeReturn& before, const RowAfterReturn& after);

}  // namespace bamboodock
