#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "bamboodock/core/ref_counted.h"
#include "bamboodock/routing/attempt_plan.h"
#include "bamboodock/routing/directory_codec.h"
#include "bamboodock/routing/peer_report.h"

namespace bamboodock {

/// Receives the answer to a `PlanQuery`, on the thread of the duty that posted the query.
class PlanReceiver : public RefCounted<PlanReceiver> {
 public:
  virtual ~PlanReceiver() = default;
  virtual void OnPlan(PlanAnswer answer) = 0;
};

/// Query for the next attempt of a request.
struct PlanQuery {
  Ref<const CallerRequest> request;
  PlanReason reason = PlanReason::kFirst;
  /// Empty for the first attempt.
  RequestProgress progress;
  /// Model of a failed attempt, which the next one keeps if it can still end in time; empty when
  /// the planning duty chooses.
  ModelId model;
  /// Confidence (0 to 100) of the answer that the next model would replace.
  std::uint32_t confidence = 0;
  Ref<PlanReceiver> receiver;
};

/// Answer to a `PlanQuery` with its receiver.
struct PlannedAttempt {
  Ref<PlanReceiver> receiver;
  PlanAnswer answer;
};

/// Changes in the operator's table.
struct OperatorDelta {
  std::vector<OperatorRow> rows;
  /// Time up to which the changes in the table are known.
  MonotonicTime covered_until;
  /// Store's clock in the last answer, and the local time at which it was read.
  std::chrono::milliseconds store_now{0};
  MonotonicTime store_read{};
  /// The same coverage in the form that other entries can compare.
  OperatorTableState orders;
  /// See `StoreClock::offset`.
  std::optional<Duration> store_offset;
};

/// Changes in the endpoint registrations.
struct EndpointDelta {
  std::vector<EndpointRecord> changed;
  std::vector<EndpointId> removed;
};

/// Changes in the router's own table.
struct RouterDelta {
  std::vector<PeerRecord> peers;
  std::vector<RolloutProgress> rollouts;
  /// Services of which the store no longer holds the progress.
  std::vector<ServiceId> removed_rollouts = {};
};

/// How far the answer to a prompt has come.
enum class PromptFate : std::uint8_t {
  /// The endpoint has processed the prompt and writes the answer.
  kUnderWay,
  /// The connection was lost before that.
  kLost,
  /// The router cancelled the attempt after the head of the answer and before that.
  kAbandoned,
};

/// Reports what became of one attempt of a request with a prompt.
struct PromptReport {
  Ref<const CallerRequest> request;
  EndpointId endpoint;
  StartTime started;
  PromptFate fate = PromptFate::kUnderWay;
};

/// Reports the confidence of an answer on a route whose model the router selects.
struct ConfidenceReport {
  /// Routing of the request; `insufficient` is the model before.
  RequestProgress progress;
  ModelId model;
  /// 0 to 100.
  std::uint32_t confidence = 0;
};

/// Reports the end of a request of a session for which an attempt was planned, however it ended.
struct SessionRequestEnd {
  ServiceId service;
  SessionId session;
};

using RouteCommand =
    std::variant<PlanQuery, HeadReport, UnderWayReport, AttemptReport, PromptReport,
                 ConfidenceReport, SessionRequestEnd, OperatorDelta, EndpointDelta, RouterDelta,
                 PeerReport, PromptEvidenceReport, RateLimitReport>;

}  // namespace bamboodock
