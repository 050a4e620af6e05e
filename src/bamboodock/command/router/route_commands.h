#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "bamboodock/core/ref_counted.h"
#include "bamboodock/routing/attempt_plan.h"
#include "bamboodock/routing/directory.h"
#include "bamboodock/routing/peer_report.h"

namespace bamboodock {

/// Receiver of the answer to a `PlanQuery`; called on the thread of the duty that asked.
class PlanReceiver : public RefCounted<PlanReceiver> {
 public:
  virtual ~PlanReceiver() = default;
  virtual void Fill(PlanAnswer answer) = 0;
};

/// Asks for the next attempt of a request.
struct PlanQuery {
  Ref<const CallerRequest> request;
  PlanReason reason = PlanReason::kFirst;
  /// Empty at the first attempt.
  RequestProgress progress;
  /// Model of the next attempt; empty when the route duty is to choose.
  ModelId model;
  /// Confidence, 0 to 100, of the answer that the next model would replace.
  std::uint32_t confidence = 0;
  Ref<PlanReceiver> receiver;
};

/// A plan on its way to the receiver that waits for it.
struct PlannedAttempt {
  Ref<PlanReceiver> receiver;
  PlanAnswer answer;
};

/// Changes of the operator's table.
struct OperatorDelta {
  std::vector<OperatorRow> rows;
  /// The table had no further changes at this time.
  MonotonicTime covered_until;
  /// Store's clock with the time of its reading, both as the last answer told them.
  std::chrono::milliseconds store_now{0};
  MonotonicTime store_read{};
  /// The same coverage as other entries understand it.
  OperatorTableState orders;
  /// See `StoreClock::offset`.
  std::optional<Duration> store_offset;
};

/// Changes of the endpoint registrations.
struct EndpointDelta {
  std::vector<EndpointRecord> changed;
  std::vector<EndpointId> removed;
};

/// Changes of the router's own table.
struct RouterDelta {
  std::vector<PeerRecord> peers;
  std::vector<RolloutProgress> rollouts;
};

using RouteCommand = std::variant<PlanQuery, HeadReport, AttemptReport, OperatorDelta,
                                  EndpointDelta, RouterDelta, PeerReport>;

}  // namespace bamboodock
