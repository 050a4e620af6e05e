#pragma once

#include <optional>
#include <variant>

#include "bamboodock/codec/attempt_message.h"
#include "bamboodock/command/entry/channel_pool.h"
#include "bamboodock/observe/timeline.h"
#include "bamboodock/policy/stream_assembler.h"

namespace bamboodock {

/// Receives the answer of an attempt in order; false from a member ends the attempt.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  virtual bool OnHead(int status, const std::vector<HttpHeader>& headers) = 0;
  virtual bool OnChunk(const std::string& data) = 0;
  /// Called while nothing else arrives; false when the caller has left.
  virtual bool OnAlive() { return true; }
};

/// How an attempt ended, as its entry sees it.
struct AttemptResult {
  std::optional<EndMessage> end;
  /// Set when there is no `end`.
  Failure failure;
  /// Epoch of the sidecar that refused.
  Epoch epoch;
  /// Chunks passed to the sink.
  SequenceNumber delivered;
  bool caller_left = false;
};

/// Runs attempts at sidecars, on the thread of the caller's connection.
class AttemptClient {
 public:
  AttemptClient(ChannelPool& channels, TimelineDuty& timeline)
      : channels_(channels), timeline_(timeline) {}

  /// Starts an attempt and passes its answer to `sink`.
  ///
  /// @param deadline Deadline on this process's clock; written into the message on the sidecar's.
  AttemptResult Run(const Address& peer, AttemptStartMessage start, MonotonicTime deadline,
                    AnswerSink& sink);

  /// Attaches to an attempt that another entry started.
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
  void Leave(Exchange& exchange);

  ChannelPool& channels_;
  TimelineDuty& timeline_;
};

}  // namespace bamboodock
