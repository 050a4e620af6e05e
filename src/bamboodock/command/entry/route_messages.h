#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "bamboodock/codec/attempt_message.h"
#include "bamboodock/codec/control_message.h"
#include "bamboodock/core/bounded_ring.h"
#include "bamboodock/objects/object_set.h"
#include "bamboodock/policy/request_kind.h"
#include "bamboodock/transport/address.h"

namespace bamboodock {

/// Ring through which a duty sends one reply to a waiting connection thread.
template <class T>
using ReplyRing = std::shared_ptr<BoundedRing<T>>;

/// Requests admission of one more request under the limits of a client account. The reply is empty
/// when it is admitted, otherwise the reason of the refusal.
struct AdmitCommand {
  Ref<const ObjectSet> set;
  ClientAccountId account;
  ReplyRing<std::optional<Failure>> reply;
};

/// Properties of a request that determine the choice of its endpoint.
struct RoutingCriteria {
  ClientAccountId account;
  /// `model`, `model@version` or the name of a cascade, as given by the caller; empty for a plain
  /// call.
  std::string target;
  ServiceId service;
  /// Version to which the session of the request is pinned; empty without a session.
  std::optional<CascadeStep> pinned;
  RequestKind kind;
  /// Hash of the first messages, for prefix affinity; zero without text.
  std::uint64_t affinity = 0;
};

/// Requests a plan for the next attempt of a request.
struct PlanCommand {
  RoutingCriteria criteria;
  MonotonicTime deadline;
  /// Cascade steps whose answers were rejected, in order.
  std::vector<CascadeStep> rejected;
  /// Endpoints that failed or refused this request.
  std::set<EndpointId> excluded;
  /// Whether the attempt repeats a failed one and therefore spends from the retry budget.
  bool is_retry = false;
  ReplyRing<struct PlanReply> reply;
};

/// Endpoint and version for the next attempt, and the conditions under which it runs.
struct Plan {
  EndpointId endpoint;
  Address address;
  ModelId model;
  VersionId version;
  Epoch epoch;
  int priority = 1;
  /// Whether the request may escalate to a later step; the answer is then checked before delivery.
  bool may_escalate = false;
  Ratio accept_confidence{0.0};
};

/// Reply to `PlanCommand`: a plan or the reason why there is none.
struct PlanReply {
  std::optional<Plan> plan;
  Failure failure;
};

/// Reports the end of a planned attempt.
struct AttemptEndedCommand {
  EndpointId endpoint;
  ModelId model;
  VersionId version;
  bool ok = false;
  Duration total{};
};

/// Reports the check of the answer of a cascade step.
struct AnswerCheckedCommand {
  VersionId version;
  RequestKind kind;
  /// Whether the answer of an earlier step was rejected.
  bool escalated = false;
  bool accepted = false;
};

/// Reports the end of an admitted request.
struct RequestEndedCommand {
  ClientAccountId account;
  bool ok = false;
  Duration first_byte{};
  Duration total{};
  CostMicros cost;
};

/// Passes on the load and the roll-out evidence that a sidecar reported.
struct SyncReportCommand {
  SyncRequest report;
  MonotonicTime received;
};

using RouteCommand = std::variant<AdmitCommand, PlanCommand, AttemptEndedCommand,
                                  AnswerCheckedCommand, RequestEndedCommand, SyncReportCommand>;

}  // namespace bamboodock
