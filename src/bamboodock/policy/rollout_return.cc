#include "bamboodock/policy/rollout_return.h"

#include <algorithm>
#include <utility>

namespace bamboodock {
namespace {

/// Revisions of one order that are remembered. Each return of the store adds two at most.
constexpr std::size_t kRememberedRevisions = 8;
/// A write and its answer over the feed take less than this unless the store is away.
constexpr std::chrono::milliseconds kFirstRewriteTime{2000};
constexpr std::chrono::milliseconds kRewriteInterval{250};

}  // namespace

KnownRolloutOrder::KnownRolloutOrder(RolloutOrder order)
    : order_(std::move(order)), revisions_{order_.revision} {}

RolloutOrderVerdict KnownRolloutOrder::Judge(const RolloutOrder& read) const {
  if (read.revision.era == order_.revision.era) {
    return read.revision.number > order_.revision.number ? RolloutOrderVerdict::kNew
                                                         : RolloutOrderVerdict::kKnown;
  }
  if (read.target != order_.target || read.time_limit != order_.time_limit) {
    return RolloutOrderVerdict::kNew;
  }
  if (cancelled_ && read.revision.number != order_.revision.number) {
    return RolloutOrderVerdict::kNew;
  }
  return RolloutOrderVerdict::kSame;
}

void KnownRolloutOrder::OnReadAgain(StoreRevision revision) {
  order_.revision = revision;
  cancelled_ = false;
  if (revisions_.size() >= kRememberedRevisions) revisions_.erase(revisions_.begin());
  revisions_.push_back(revision);
}

bool KnownRolloutOrder::IsNamedBy(StoreRevision revision) const {
  if (revision.era == StoreEra()) return revision.number == order_.revision.number;
  return std::find(revisions_.begin(), revisions_.end(), revision) != revisions_.end();
}

bool KnownRolloutOrder::IsOrderOf(const RolloutProgress& progress) const {
  if (progress.target != order_.target) return false;
  return std::any_of(revisions_.begin(), revisions_.end(), [&](const StoreRevision& revision) {
    return revision.number == progress.order_revision.number;
  });
}

bool IsFurther(const RolloutProgress& progress, const RolloutProgress& other) {
  const bool is_running = progress.state == RolloutState::kRunning;
  const bool other_is_running = other.state == RolloutState::kRunning;
  if (is_running != other_is_running) return other_is_running;
  return is_running && progress.started < other.started;
}

VersionVerdicts VerdictsOf(const RolloutProgress& row) {
  VersionVerdicts verdicts;
  for (const VersionVerdict& verdict : row.verdicts) verdicts.Merge(verdict);
  if (row.state == RolloutState::kRunning) return verdicts;
  const bool completed = row.state == RolloutState::kCompleted;
  verdicts.Merge({row.target,
                  {StoreEra(), row.order_revision.number},
                  completed ? VersionStanding::kAccepted : VersionStanding::kRejected});
  return verdicts;
}

bool IsImplied(const VersionVerdict& verdict) {
  return verdict.order.era == StoreEra() && verdict.order.number > 0;
}

RolloutRowVerdict JudgeRolloutRow(const KnownRolloutOrder& known,
                                  const std::optional<RolloutProgress>& progress,
                                  const std::optional<RolloutProgress>& row) {
  if (!row) return RolloutRowVerdict::kOutdated;
  const std::uint64_t number = known.order().revision.number;
  if (!known.IsOrderOf(*row)) {
    return row->order_revision.number > number ? RolloutRowVerdict::kOfNewerOrder
                                               : RolloutRowVerdict::kOutdated;
  }
  const bool is_behind = progress && IsFurther(*progress, *row);
  const bool is_named = row->order_revision.number == number;
  const bool lacks_verdict = progress && !VerdictsOf(*row).Includes(progress->verdicts);
  return is_behind || !is_named || lacks_verdict ? RolloutRowVerdict::kOutdated
                                                 : RolloutRowVerdict::kCurrent;
}

std::chrono::milliseconds RewriteDelay(std::uint32_t rank) {
  if (rank == 0) return std::chrono::milliseconds(0);
  return kFirstRewriteTime + (rank - 1) * kRewriteInterval;
}

}  // namespace bamboodock
