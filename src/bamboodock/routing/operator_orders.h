#pragma once

#include <map>
#include <set>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Order to move a service's traffic to endpoints of another version.
struct RolloutOrder {
  ServiceId service;
  VersionId target;
  Duration time_limit{};
  /// Row version in the store; rises with each order.
  std::uint64_t revision = 0;
};

/// Outcome of a rollout as the operator reads it.
enum class RolloutState : std::uint8_t { kRunning, kCompleted, kRolledBack };

/// What all entries together know of one rollout; kept in the store.
struct RolloutProgress {
  ServiceId service;
  VersionId target;
  /// Revision of the order that this progress belongs to.
  std::uint64_t order_revision = 0;
  RolloutState state = RolloutState::kRunning;
  /// Time on the store's clock at which the order was first seen.
  std::chrono::milliseconds started{0};
  /// Row version of this progress; 0 when the row does not exist yet.
  std::uint64_t revision = 0;
};

/// Orders in force, keyed by what they concern.
struct OperatorOrders {
  std::map<ServiceId, RolloutOrder> rollouts;
  std::set<AvailabilityZoneId> evacuated;
};

}  // namespace bamboodock
