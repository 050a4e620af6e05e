#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/store_revision.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Order to move a service's traffic to endpoints of another version.
struct RolloutOrder {
  ServiceId service;
  VersionId target;
  Duration time_limit{};
  /// Revision of the row in the store; increases with each order.
  StoreRevision revision;
};

/// State of a rollout as shown to the operator.
enum class RolloutState : std::uint8_t { kRunning, kCompleted, kRolledBack };

/// What became of a version that was the target of an order.
enum class VersionStanding : std::uint8_t {
  /// Another order came before the rollout was decided.
  kUndecided,
  /// Judged bad.
  kRejected,
  /// In full use: its rollout was completed, or it served before the first order.
  kAccepted,
};

/// Verdict on a version as of the newest order that named it as its target.
struct VersionVerdict {
  VersionId version;
  /// Number 0 for the version that served before the first order.
  StoreRevision order;
  VersionStanding standing = VersionStanding::kUndecided;

  friend bool operator==(const VersionVerdict&, const VersionVerdict&) = default;
};

/// Progress of one rollout, shared by all entries through the store.
struct RolloutProgress {
  ServiceId service;
  VersionId target;
  /// Revision of the order that this progress belongs to.
  StoreRevision order_revision;
  RolloutState state = RolloutState::kRunning;
  /// Time on the store's clock at which the order was first observed.
  std::chrono::milliseconds started{0};
  /// Revision of the progress row; number 0 when the row does not exist yet.
  StoreRevision revision;
  /// Verdicts on versions of the service, known when the row was written.
  std::vector<VersionVerdict> verdicts = {};
};

}  // namespace bamboodock
