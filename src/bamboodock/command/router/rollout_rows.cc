#include "bamboodock/command/router/rollout_rows.h"

#include <algorithm>

namespace bamboodock {

std::optional<RolloutProgress> RolloutRows::Find(const ServiceId& service) const {
  const auto found = rows_.find(service);
  return found == rows_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<RolloutProgress> RolloutRows::PrepareWrite(const KnownRolloutOrder& order,
                                                         RolloutProgress progress) const {
  const std::optional<RolloutProgress> row = Find(progress.service);
  const StoreEra era = order.order().revision.era;
  if (row && row->revision.era != era) return std::nullopt;
  if (JudgeRolloutRow(order, std::nullopt, row) == RolloutRowVerdict::kOfNewerOrder) {
    return std::nullopt;
  }
  progress.order_revision = order.order().revision;
  progress.revision = row ? row->revision : StoreRevision{era, 0};
  return progress;
}

std::optional<RolloutProgress> RolloutRows::PrepareRewrite(const KnownRolloutOrder& order,
                                                           const RolloutProgress& progress,
                                                           std::uint32_t rank,
                                                           std::chrono::milliseconds store_now) {
  const std::optional<RolloutProgress> write = PrepareWrite(order, progress);
  const std::optional<RolloutProgress> row = Find(progress.service);
  if (!write || JudgeRolloutRow(order, progress, row) != RolloutRowVerdict::kOutdated) {
    lacking_since_.erase(progress.service);
    return std::nullopt;
  }
  std::chrono::milliseconds& since =
      lacking_since_.try_emplace(progress.service, store_now).first->second;
  // The clock of the store may have been set back.
  since = std::min(since, store_now);
  return store_now - since < RewriteDelay(rank) ? std::nullopt : write;
}

}  // namespace bamboodock
