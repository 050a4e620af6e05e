#pragma once

#include "bamboodock/codec/attempt_message.h"
#include "bamboodock/command/sidecar/answer_log.h"
#include "bamboodock/objects/version.h"

namespace bamboodock {

/// Attempt that was admitted and waits for or makes its endpoint call.
struct AdmittedAttempt {
  AttemptStartMessage start;
  Ref<AnswerLog> log;
  /// Version, with its prices, as configured at admission; unused for a plain call.
  Version version;
  /// Whether the call needs a durable claim before it runs.
  bool needs_claim = false;
};

/// Outcome of the endpoint call of an attempt, reported to the admission duty.
struct EndpointCallOutcome {
  AttemptId attempt;
  ModelId model;
  VersionId version;
  bool ok = false;
  bool cancelled = false;
  Duration first_token{};
};

}  // namespace bamboodock
