#include "bamboodock/policy/returned_row.h"

#include <algorithm>

namespace bamboodock {

// Modelled in model/store_return.pml, inline UpdateReturned.
ReturnedRowVerdict JudgeReturnedRow(const RowBeforeReturn& before, const RowAfterReturn& after) {
  const auto known = std::find(before.writes.rbegin(), before.writes.rend(), after.write);
  if (after.may_be_of_copy && known != before.writes.rend()) {
    const bool is_newest = known == before.writes.rbegin();
    return is_newest && !before.removed ? ReturnedRowVerdict::kSurvived
                                        : ReturnedRowVerdict::kOutdated;
  }
  if (!before.sequence || !after.sequence) return ReturnedRowVerdict::kNewer;
  if (*after.sequence < *before.sequence) return ReturnedRowVerdict::kOutdated;
  // A removal is read without the states that were written shortly before it.
  const bool is_same_start = after.sequence->start == before.sequence->start;
  const bool is_removed_state =
      is_same_start && (after.may_be_of_copy || *after.sequence == *before.sequence);
  if (before.removed && is_removed_state) return ReturnedRowVerdict::kOutdated;
  return ReturnedRowVerdict::kNewer;
}

}  // namespace bamboodock
