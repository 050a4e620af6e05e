#pragma once

#include <optional>
#include <variant>

#include "bamboodock/codec/attempt_message.h"
#include "bamboodock/command/entry/channel_pool.h"
#include "bamboodock/observe/timeline.h"
#include "bamboodock/policy/stream_assembler.h"

namespace bamboodock {

/// Receives the answer of an attempt in order, on the thread that runs the attempt. The attempt is
/// cancelled when a member function returns false.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  virtual bool OnHead(int status, const std::vector<HttpHeader>& headers) = 0;
  virtual bool OnChunk(const std::string& data) = 0;
  /// Called for each heartbeat of the sidecar; false when the caller has disconnected.
  virtual bool OnHeartbeat() { return true; }
};

/// Outcome of an attempt as observed by the entry.
struct AttemptResult {
  std::optional<EndMessage> end;
  /// Reason of the failure; set when `end` is empty.
  Failure failure;
  /// Epoch of the sidecar, when it refused the attempt.
  Epoch epoch;
  /// Number of chunks passed to the sink.
  SequenceNumber delivered;
  bool caller_left = false;
};

/// Runs attempts at sidecars on the calling thread, which serves the caller's connection.
class AttemptClient {
 public:
  AttemptClient(ChannelPool& channels, TimelineDuty& timeline)
      : channels_(channels), timeline_(timeline) {}

  /// Starts an attempt, passes its answer to `sink` and returns when the attempt has ended.
  ///
  /// @param deadline Deadline on the clock of this process; it is converted to the sidecar's clock
  /// in the message.
  AttemptResult Run(const Address& peer, AttemptStartMessage start, MonotonicTime deadline,
                    AnswerSink& sink);

  /// Attaches to an attempt that any entry has started and passes its whole answer to `sink`.
  AttemptResult Attach(const Address& peer, const AttemptId& attempt, const RequestId& request,
                       MonotonicTime deadline, AnswerSink& sink);

 private:
  struct Exchange;

  void Receive(Exchange& exchange);
  void Resume(Exchange& exchange);
  void Apply(Exchange& exchange, const HelloMessage& message);
  void Apply(Exchange& exchange, const HeartbeatMessage& message);
  void Apply(Exchange& exchange, const HeadMessage& message);
  void Apply(Exchange& exchange, const ChunkMessage& message);
  void Apply(Exchange& exchange, const EndMessage& message);
  void Apply(Exchange& exchange, const RefusedMessage& message);
  void Cancel(Exchange& exchange);

  ChannelPool& channels_;
  TimelineDuty& timeline_;
};

}  // namespace bamboodock
