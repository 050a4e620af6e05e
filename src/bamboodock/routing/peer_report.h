#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/quantity.h"
#include "bamboodock/core/slowdown.h"
#include "bamboodock/core/store_revision.h"
#include "bamboodock/core/units.h"
#include "bamboodock/policy/evidence_counters.h"
#include "bamboodock/policy/prompt_evidence.h"
#include "bamboodock/routing/endpoint_record.h"

namespace bamboodock {

/// Short hash of a session id.
using SessionHash = Quantity<struct SessionHashTag, std::uint32_t>;

/// Evidence about a rollout as collected by one entry.
struct RolloutEvidence {
  ServiceId service;
  /// Revision of the order; evidence for an older order is ignored.
  StoreRevision order_revision;
  /// Answers of the target version.
  EvidenceCounters answers;
  /// Answers of the other versions since the order was given.
  EvidenceCounters old_answers;
  /// Open attempts at versions other than the target.
  std::uint64_t open_at_old = 0;
  /// Sessions of the trial share that recently ran on another version; every entry keeps them
  /// there while the target gets only the trial share.
  std::vector<SessionHash> held_back;
};

/// Prompt tokens sent by an entry that one endpoint has yet to read, weighted by price.
struct PendingWork {
  EndpointId endpoint;
  Tokens work;
};

/// Long-run slowdown of one endpoint, as observed by an entry.
struct EndpointSlowdown {
  EndpointId endpoint;
  Slowdown slowdown;
};

/// Short hash of a route id.
using RouteHash = Quantity<struct RouteHashTag, std::uint32_t>;

/// How many answers of one model of a route had sufficient confidence, as observed by an entry.
struct ModelAcceptance {
  /// The counts decay, so they are not whole numbers.
  double accepted = 0;
  double judged = 0;
  RouteHash route;
  /// Position of the model among those of the route, smallest first.
  std::uint32_t model = 0;
  /// Position of the model whose answer did not suffice before; empty for a first answer.
  std::optional<std::uint32_t> previous;
};

/// State of the operator's table at one time, as read by an entry. Invalid while `until` is zero.
///
/// An entry with the same rows learns from it that they are still current, without reading the
/// store.
struct OperatorTableState {
  /// Digest of the keys and revisions of all rows.
  std::uint64_t digest = 0;
  /// Time on the store's clock up to which the rows are known to be current.
  std::chrono::milliseconds until{0};
  /// Era of the store in which they were read.
  StoreEra era = {};
};

/// State that an entry sends to the other entries several times a second.
struct PeerReport {
  HostId host;
  IncarnationId incarnation;
  std::vector<RolloutEvidence> rollouts;
  std::vector<PendingWork> pending;
  OperatorTableState orders;
  std::vector<EndpointSlowdown> slowdowns = {};
  std::vector<ModelAcceptance> acceptance = {};
};

/// Evidence about prompt parts that crash endpoints, as known to an entry. Sent when there is any.
struct PromptEvidenceReport {
  HostId host;
  std::vector<PromptPartEvidence> parts;
};

/// What an endpoint said about its rate limit, with the time on the store's clock, which all
/// entries know.
struct ReportedRateLimit {
  EndpointId endpoint;
  StartTime started;
  /// Empty when the endpoint names no limit any more.
  std::optional<RequestRate> limit;
  std::chrono::milliseconds stated{0};
};

/// Rate limits of endpoints, as known to an entry. Sent when there are any.
struct RateLimitReport {
  HostId host;
  std::vector<ReportedRateLimit> limits;
};

using PeerMessage = std::variant<PeerReport, PromptEvidenceReport, RateLimitReport>;

}  // namespace bamboodock
