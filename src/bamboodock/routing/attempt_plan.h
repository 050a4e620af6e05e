#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "bamboodock/core/failure.h"
#include "bamboodock/routing/answer_head.h"
#include "bamboodock/routing/caller_request.h"
#include "bamboodock/routing/endpoint_record.h"
#include "bamboodock/routing/route_table.h"

namespace bamboodock {

/// Why an attempt is planned.
enum class PlanReason : std::uint8_t {
  kFirst,
  /// The endpoint before did not run the request.
  kNotRun,
  /// The endpoint before failed a request that may run again.
  kFailed,
  /// The answer before was not good enough.
  kNextModel,
  /// The stream before broke off.
  kResume,
};

std::string_view Name(PlanReason reason);

/// What has been decided for a request so far.
struct RequestProgress {
  Ref<const RouteTable> table;
  const Route* route = nullptr;
  const RoutedService* service = nullptr;
  ClientAccountId account;
  std::vector<EndpointId> tried;
  /// Model and version of the attempt before.
  ModelId model;
  VersionId version;
};

/// Decision to send a request to one endpoint.
struct AttemptPlan {
  RequestProgress progress;
  EndpointId endpoint;
  Address address;
  StartTime started;
  ModelId model;
  VersionId version;
  std::uint32_t engine_priority = 5;
  /// Prompt tokens, weighted by the price of the model, that the endpoint has to read.
  Tokens work;
  /// Whether the endpoint has failed or been silent lately, so that it gets less time.
  bool suspect = false;
  /// The request must not be sent later: the knowledge behind the decision is too old by then.
  MonotonicTime valid_until;
};

/// Plan, or the reason why there is none.
struct PlanAnswer {
  std::optional<AttemptPlan> plan;
  Failure refusal;
  /// Route of a refused request, if it is known; belongs to `table`.
  const Route* route = nullptr;
  Ref<const RouteTable> table;
};

/// How an attempt ended.
enum class AttemptOutcome : std::uint8_t {
  kSuccess,
  /// The endpoint answered with a failure of its own.
  kFailure,
  /// The endpoint refused the request as full or leaving.
  kRefused,
  /// Another endpoint answers at the address.
  kWrongEndpoint,
  /// No connection could be opened.
  kUnreachable,
  /// The connection broke or the answer was malformed.
  kBroken,
  /// The endpoint was silent for too long.
  kSilent,
  /// The router ended the attempt: the caller left or another model answers.
  kCancelled,
};

std::string_view Name(AttemptOutcome outcome);

/// The head of an answer has arrived: the prompt is read.
struct HeadReport {
  EndpointId endpoint;
  StartTime started;
  Tokens work;
  std::optional<ReportedLoad> load;
};

/// Outcome of one attempt, for the load view and the evidence about versions.
struct AttemptReport {
  EndpointId endpoint;
  StartTime started;
  ServiceId service;
  RouteId route;
  VersionId version;
  AttemptOutcome outcome = AttemptOutcome::kSuccess;
  /// Time to the head of the answer; empty when there was none.
  std::optional<Duration> head_latency;
  /// Mean time between the events of a stream; empty when fewer than two arrived.
  std::optional<Duration> event_interval;
  Tokens prompt_tokens;
  /// Work of the plan; counted until the head of the answer.
  Tokens work;
  ModelId model;
};

}  // namespace bamboodock
