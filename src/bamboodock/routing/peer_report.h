#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/quantity.h"
#include "bamboodock/core/units.h"
#include "bamboodock/policy/evidence_counters.h"

namespace bamboodock {

/// Short hash of a session id.
using SessionHash = Quantity<struct SessionHashTag, std::uint32_t>;

/// One entry's view of a rollout.
struct RolloutEvidence {
  ServiceId service;
  /// Revision of the order; evidence of an older order is void.
  std::uint64_t order_revision = 0;
  EvidenceCounters answers;
  /// Answers of the other versions since the order.
  EvidenceCounters old_answers;
  /// Open attempts at other versions than the target.
  std::uint64_t open_at_old = 0;
  /// Sessions among those to try the target out that ran on another version lately; they stay there
  /// while the target is only tried out, at every entry.
  std::vector<SessionHash> held_back;
};

/// Prompt tokens, weighted by price, that one endpoint has yet to read for an entry.
struct PendingWork {
  EndpointId endpoint;
  Tokens work;
};

/// State of the operator's table at one moment, as an entry has read it. Void while `until` is
/// zero.
///
/// An entry that knows the same rows learns from it that they still hold, without asking the store.
struct OperatorTableState {
  /// Digest of the keys and revisions of all rows.
  std::uint64_t digest = 0;
  /// The moment, on the store's clock.
  std::chrono::milliseconds until{0};
};

/// What an entry tells the others, several times a second.
struct PeerReport {
  HostId host;
  IncarnationId incarnation;
  std::vector<RolloutEvidence> rollouts;
  std::vector<PendingWork> pending;
  OperatorTableState orders;
};

}  // namespace bamboodock
