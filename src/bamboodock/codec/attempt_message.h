#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bamboodock/core/failure.h"
#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"
#include "bamboodock/core/units.h"
#include "bamboodock/observe/hybrid_clock.h"
#include "bamboodock/transport/http_types.h"

namespace bamboodock {

/// WebSocket path on which entry and sidecar exchange the attempt messages.
inline constexpr const char* kAttemptPath = "/attempt";

/// Kind of work of an attempt.
enum class AttemptKind : std::uint8_t { kChat, kCall };

/// First message of an attempt, from the entry to the sidecar.
struct AttemptStartMessage {
  AttemptId attempt;
  RequestId request;
  ClientAccountId account;
  AttemptKind kind = AttemptKind::kChat;
  ModelId model;
  VersionId version;
  ServiceId service;
  StepNumber step;
  /// Cost and token counts of the earlier steps of the request.
  CostMicros prior_cost;
  Tokens prior_prompt;
  Tokens prior_completion;
  Epoch epoch;
  /// Incarnation of the sidecar, from its hello.
  IncarnationId incarnation;
  /// Deadline on the sidecar's clock, computed from the clock value in its hello, so that a delayed
  /// copy of the message expires as well.
  MonotonicTime deadline;
  int priority = 1;
  IdempotencyKey idempotency_key;
  bool repeatable = true;
  std::string method;
  std::string path;
  std::vector<HttpHeader> headers;
  std::string body;
  EventTime sent_at;
};

/// Asks for the chunks of an attempt's answer from `next` on, on a new connection.
struct AttemptResumeMessage {
  AttemptId attempt;
  SequenceNumber next;
};

struct AttemptCancelMessage {
  AttemptId attempt;
};

using EntryMessage = std::variant<AttemptStartMessage, AttemptResumeMessage, AttemptCancelMessage>;

/// First message of the sidecar on every connection.
struct HelloMessage {
  IncarnationId incarnation;
  /// The sidecar's clock when it sent the message.
  MonotonicTime clock;
};

/// Heartbeat; the sidecar sends it when it has sent nothing else for 500 ms.
struct HeartbeatMessage {};

/// Status and headers of the answer.
struct HeadMessage {
  int status = 200;
  std::vector<HttpHeader> headers;
};

struct ChunkMessage {
  SequenceNumber sequence;
  std::string data;
};

/// End of a complete answer.
struct EndMessage {
  /// Number of chunks of the answer.
  SequenceNumber count;
  Tokens prompt;
  Tokens completion;
  /// Cost of this step alone.
  CostMicros cost;
  /// Mean token probability; negative when the engine gave none.
  Ratio confidence{-1.0};
  EventTime sent_at;
};

/// Refusal or failure of an attempt.
struct RefusedMessage {
  Failure failure;
  Epoch epoch;
};

using SidecarMessage = std::variant<HelloMessage, HeartbeatMessage, HeadMessage, ChunkMessage,
                                    EndMessage, RefusedMessage>;

std::string EncodeMessage(const EntryMessage& message);
std::string EncodeMessage(const SidecarMessage& message);

/// The decoders fail with `kBadMessage` and run state `kUnknown`.
Result<EntryMessage> DecodeEntryMessage(std::string_view bytes);
Result<SidecarMessage> DecodeSidecarMessage(std::string_view bytes);

}  // namespace bamboodock
