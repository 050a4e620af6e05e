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

/// Ring on which a connection thread waits for one reply.
template <class T>
using ReplyRing = std::shared_ptr<BoundedRing<T>>;

/// Asks whether the limits of a client account admit one more request.
struct AdmitCommand {
  Ref<const ObjectSet> set;
  ClientAccountId account;
  ReplyRing<std::optional<Failure>> reply;
};

/// What a request asks for, as far as the choice of an endpoint depends on it.
struct RoutingCriteria {
  ClientAccountId account;
  /// `model`, `model@version` or a cascade as the caller named it; empty for a plain call.
  std::string target;
  ServiceId service;
  /// Version of the session that the request continues.
  std::optional<CascadeStep> pinned;
  RequestKind kind;
  std::uint64_t affinity = 0;
};

/// Asks for the next attempt of a request.
struct PlanCommand {
  RoutingCriteria criteria;
  MonotonicTime deadline;
  /// Cascade steps whose answers were rejected, in order.
  std::vector<CascadeStep> rejected;
  /// Endpoints that failed or refused this request.
  std::set<EndpointId> excluded;
  /// Repeats an attempt that failed, and so draws on the retry budget.
  bool is_retry = false;
  ReplyRing<struct PlanReply> reply;
};

/// Where the next attempt runs.
struct Plan {
  EndpointId endpoint;
  Address address;
  ModelId model;
  VersionId version;
  Epoch epoch;
  int priority = 1;
  /// Whether a better step may follow; the answer is then checked before it is delivered.
  bool may_escalate = false;
  Ratio accept_confidence{0.0};
};

/// Reply to `PlanCommand`: a plan or the reason why there is none.
struct PlanReply {
  std::optional<Plan> plan;
  Failure failure;
};

/// An attempt that was planned has ended.
struct AttemptEndedCommand {
  EndpointId endpoint;
  ModelId model;
  VersionId version;
  bool ok = false;
  Duration total{};
};

/// The answer of a cascade step was checked.
struct AnswerCheckedCommand {
  VersionId version;
  RequestKind kind;
  bool escalated = false;
  bool accepted = false;
};

/// A request that was admitted has ended.
struct RequestEndedCommand {
  ClientAccountId account;
  bool ok = false;
  Duration first_byte{};
  Duration total{};
  CostMicros cost;
};

/// Load and evidence from a sidecar.
struct SyncReportCommand {
  SyncRequest report;
  MonotonicTime received;
};

using RouteCommand = std::variant<AdmitCommand, PlanCommand, AttemptEndedCommand,
                                  AnswerCheckedCommand, RequestEndedCommand, SyncReportCommand>;

}  // namespace bamboodock
