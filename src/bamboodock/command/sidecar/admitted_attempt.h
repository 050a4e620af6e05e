#pragma once

#include "bamboodock/codec/attempt_message.h"
#include "bamboodock/command/sidecar/answer_log.h"
#include "bamboodock/objects/version.h"

namespace bamboodock {

/// Admitted attempt on its way to the endpoint.
struct AdmittedAttempt {
  AttemptStartMessage start;
  Ref<AnswerLog> log;
  /// Price of the version under the epoch of admission; unused for a plain call.
  Version version;
  /// Whether the call needs a durable claim before it runs.
  bool needs_claim = false;
};

/// Outcome of an attempt at the endpoint.
struct EndpointCallOutcome {
  AttemptId attempt;
  ModelId model;
  VersionId version;
  bool ok = false;
  bool cancelled = false;
  Duration first_token{};
};

}  // namespace bamboodock
