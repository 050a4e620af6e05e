#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "bamboodock/policy/rollout_return.h"
#include "bamboodock/routing/operator_orders.h"

namespace bamboodock {

/// Progress rows as the store holds them; decides which writes of them may be sent.
///
/// A write expects a revision of the era in which its order was read. None is prepared while the
/// row is known from another era only, since its revision may have been given out again.
class RolloutRows {
 public:
  void Set(const RolloutProgress& row) { rows_.insert_or_assign(row.service, row); }
  void Remove(const ServiceId& service) { rows_.erase(service); }
  /// Row of the service, maybe of an earlier era; empty when there is none.
  std::optional<RolloutProgress> Find(const ServiceId& service) const;

  /// The progress with the revisions under which it may be written; empty when it must not be
  /// written now.
  std::optional<RolloutProgress> PrepareWrite(const KnownRolloutOrder& order,
                                              RolloutProgress progress) const;
  /// The same for known progress that the store has lost; empty unless it is this entry's turn.
  ///
  /// @param rank Rank of this entry for the service.
  /// @param store_now Estimate of the store's clock.
  std::optional<RolloutProgress> PrepareRewrite(const KnownRolloutOrder& order,
                                                const RolloutProgress& progress, std::uint32_t rank,
                                                std::chrono::milliseconds store_now);

 private:
  std::map<ServiceId, RolloutProgress> rows_;
  /// Time on the store's clock since which the store is known to lack the progress.
  std::map<ServiceId, std::chrono::milliseconds> lacking_since_;
};

}  // namespace bamboodock
