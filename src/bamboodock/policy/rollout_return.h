#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "bamboodock/core/store_revision.h"
#include "bamboodock/policy/version_verdicts.h"
#include "bamboodock/routing/operator_orders.h"

namespace bamboodock {

/// What an order that is read from the store means for the known one of its service.
enum class RolloutOrderVerdict : std::uint8_t {
  /// The known order, or an earlier one of its era.
  kKnown,
  /// The known order, which the copy still holds or the operator has written again.
  kSame,
  kNew,
};

/// An order with all revisions under which it was read, since the store may return from an older
/// copy and the operator then writes its orders again.
class KnownRolloutOrder {
 public:
  explicit KnownRolloutOrder(RolloutOrder order);

  const RolloutOrder& order() const { return order_; }

  /// Within one era a higher number is a new order, whatever it says. Across eras an order of the
  /// same target and time limit is the same, except that a cancelled one has to have the same
  /// number: the operator does not write again what it has cancelled.
  RolloutOrderVerdict Judge(const RolloutOrder& read) const;
  /// Takes over the revision of the order as read again, which is no longer cancelled.
  void OnReadAgain(StoreRevision revision);
  void Cancel() { cancelled_ = true; }

  /// Whether another entry that names the revision means this order. Entries of earlier releases
  /// name no era.
  bool IsNamedBy(StoreRevision revision) const;
  /// Whether the progress is that of this order. Its row may have been written before the return,
  /// and states only the number of the order.
  bool IsOrderOf(const RolloutProgress& progress) const;

 private:
  RolloutOrder order_;
  /// Oldest first; the last one is that of `order_`.
  std::vector<StoreRevision> revisions_;
  bool cancelled_ = false;
};

/// Whether `progress` is further than `other` of the same order: completed or rolled back rather
/// than running, or running since an earlier time. Neither of two final states is further.
bool IsFurther(const RolloutProgress& progress, const RolloutProgress& other);

/// Verdicts that the row states: those in its list, and the one on its target that its state
/// implies. The latter yields to any verdict with an era, since a copy may hold an old row.
VersionVerdicts VerdictsOf(const RolloutProgress& row);

/// Whether the verdict was derived from the state of a row.
bool IsImplied(const VersionVerdict& verdict);

/// What the store holds of a rollout, compared with what an entry knows.
enum class RolloutRowVerdict : std::uint8_t {
  kCurrent,
  /// Missing, of an earlier order, behind the known progress, without a known verdict or under an
  /// earlier revision of the order.
  kOutdated,
  /// Of an order that this entry has yet to read; must not be written over.
  kOfNewerOrder,
};

/// Judges the row that the store holds.
///
/// @param known Order under its revision of the present era.
/// @param progress Known progress of the order; empty when there is none.
/// @param row Row in the present era; empty when there is none.
RolloutRowVerdict JudgeRolloutRow(const KnownRolloutOrder& known,
                                  const std::optional<RolloutProgress>& progress,
                                  const std::optional<RolloutProgress>& row);

/// Time for which an entry lets others write a row again first that the store has lost. All entries
/// know the same rows, and several hundred writes at once would delay those of others.
///
/// @param rank Rank of the entry from 0, in an order on which all entries agree.
std::chrono::milliseconds RewriteDelay(std::uint32_t rank);

}  // namespace bamboodock
