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
  /// The previous endpoint did not run the request.
  kNotRun,
  /// The previous endpoint failed a request that may be retried.
  kFailed,
  /// The confidence of the previous answer was too low.
  kNextModel,
  /// The previous stream ended early.
  kResume,
};

std::string_view Name(PlanReason reason);

/// Routing decisions made for a request so far.
struct RequestProgress {
  Ref<const RouteTable> table;
  const Route* route = nullptr;
  const RoutedService* service = nullptr;
  ClientAccountId account;
  std::vector<EndpointId> tried;
  /// Attempts whose request an endpoint may have received.
  std::uint32_t sent = 0;
  /// Model and version of the previous attempt.
  ModelId model;
  VersionId version;
  /// Model whose answer was the last one that did not suffice; empty when there is none.
  ModelId insufficient;
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
  /// Prompt tokens that the endpoint has to read, weighted by the price of the model.
  Tokens work;
  /// Whether the endpoint failed or did not answer recently; a suspect endpoint gets a shorter
  /// timeout.
  bool suspect = false;
  /// Whether the attempt uses the repeat budget.
  bool repeat = false;
  /// The request must not be sent after this time: the configuration behind the decision is then
  /// too old.
  MonotonicTime valid_until;
};

/// Plan, or the refusal when there is none.
struct PlanAnswer {
  std::optional<AttemptPlan> plan;
  Failure refusal;
  /// Route of a refused request if it is known; points into `table`.
  const Route* route = nullptr;
  Ref<const RouteTable> table;
};

/// How an attempt ended.
enum class AttemptOutcome : std::uint8_t {
  kSuccess,
  /// The endpoint answered with an error of its own.
  kFailure,
  /// The endpoint refused the request because it is full or draining.
  kRefused,
  /// Another endpoint answers at the address.
  kWrongEndpoint,
  /// No connection could be opened.
  kUnreachable,
  /// The connection was lost or the answer was malformed.
  kBroken,
  /// The endpoint sent nothing within the timeout.
  kSilent,
  /// The router cancelled the attempt: the caller disconnected or another model answers.
  kCancelled,
};

std::string_view Name(AttemptOutcome outcome);

/// Reports that the head of an answer has arrived, that is, that the prompt has been read.
struct HeadReport {
  /// Request of the answer, for log lines.
  RequestId request;
  EndpointId endpoint;
  StartTime started;
  Tokens work;
  std::optional<ReportedLoad> load;
  /// Whether the endpoint states that it drains.
  bool draining = false;
  /// How long the endpoint wants no further requests from this host.
  std::optional<Duration> retry_after;
  /// Rate limit that the answer names.
  std::optional<RequestRate> rate_limit;
  /// Whether an answer that names no limit shows that there is none: a success does.
  bool success = false;
  /// When the request was sent.
  MonotonicTime sent_at{};
  /// Whether the answer has a load report that cannot be read.
  bool unreadable_load = false;
};

/// Outcome of one attempt, for the load estimate and the rollout evidence about versions.
struct AttemptReport {
  EndpointId endpoint;
  StartTime started;
  ServiceId service;
  RouteId route;
  VersionId version;
  AttemptOutcome outcome = AttemptOutcome::kSuccess;
  /// Time until the head of the answer arrived; empty when none did.
  std::optional<Duration> head_latency;
  /// Mean time between events of a stream; empty when fewer than two events arrived.
  std::optional<Duration> event_interval;
  /// The same when the answer came under way, as reported then; empty when it did not.
  std::optional<Duration> early_event_interval;
  /// Events of a complete stream, over all of its attempts; 0 otherwise.
  std::uint64_t stream_events = 0;
  /// Largest number of output tokens that the caller accepts; 0 when it is not stated.
  Tokens max_output_tokens;
  /// `RequestMetadata::expected_output_tokens`.
  std::optional<Tokens> expected_output_tokens;
  /// Whether the endpoint may have received the request.
  bool sent = false;
  /// `AttemptPlan::repeat`.
  bool repeat = false;
  Tokens prompt_tokens;
  /// `AttemptPlan::work`; counts as pending until the head of the answer arrives.
  Tokens work;
  ModelId model;
};

/// Reports that the answer of an attempt is under way. Slow answers end so late that evidence from
/// their ends only would miss them.
struct UnderWayReport {
  /// The attempt so far; `outcome` has no meaning.
  AttemptReport attempt;
};

}  // namespace bamboodock
