#include "bamboodock/command/entry/attempt_client.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace bamboodock {
namespace {

/// Maximum number of consecutive resumes without a delivered chunk; then the attempt fails.
constexpr std::uint32_t kMaxResumes = 3;

}  // namespace

struct AttemptClient::Exchange {
  Exchange(const Address& peer_address, const AttemptId& id, const RequestId& request_id,
           MonotonicTime until, AnswerSink& answer_sink)
      : peer(peer_address),
        attempt(id),
        request(request_id),
        deadline(until),
        sink(answer_sink),
        assembler(id, kMaxResumes),
        ring(std::make_shared<MessageRing>(config::kStreamRingCapacity)) {}

  void Fail(Failure failure) {
    result.failure = std::move(failure);
    done = true;
  }

  Address peer;
  AttemptId attempt;
  RequestId request;
  MonotonicTime deadline;
  AnswerSink& sink;
  StreamAssembler assembler;
  std::shared_ptr<MessageRing> ring;
  std::optional<AttemptChannel> channel;
  IncarnationId incarnation;
  AttemptResult result;
  bool head_delivered = false;
  bool done = false;
};

AttemptResult AttemptClient::Run(const Address& peer, AttemptStartMessage start,
                                 MonotonicTime deadline, AnswerSink& sink) {
  Exchange exchange(peer, start.attempt, start.request, deadline, sink);
  const bool opened = HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_ASSIGN(exchange.channel, channels_.Acquire(peer, false));
        return true;
      },
      [&](const Failure& failure) {
        exchange.Fail({ResultCode::kConnectionFailed, failure.detail, RunState::kNotRun});
        return false;
      });
  if (!opened) return exchange.result;
  exchange.incarnation = exchange.channel->hello.incarnation;
  start.incarnation = exchange.incarnation;
  start.deadline = exchange.channel->OnSidecarClock(deadline);
  start.sent_at = timeline_.clock().Tick();
  exchange.channel->channel->Receive(exchange.ring);
  timeline_.Record(Event::kAttemptSent, start.request,
                   start.attempt.value() + " to " + peer.ToString());
  if (!exchange.channel->channel->Send(EncodeMessage(EntryMessage(std::move(start))))) {
    // Part of the message may have been sent, so the attempt is resumed on a new connection.
    Resume(exchange);
  }
  Receive(exchange);
  return exchange.result;
}

AttemptResult AttemptClient::Attach(const Address& peer, const AttemptId& attempt,
                                    const RequestId& request, MonotonicTime deadline,
                                    AnswerSink& sink) {
  Exchange exchange(peer, attempt, request, deadline, sink);
  Resume(exchange);
  Receive(exchange);
  return exchange.result;
}

void AttemptClient::Receive(Exchange& exchange) {
  while (!exchange.done) {
    const auto now = std::chrono::steady_clock::now();
    if (now >= exchange.deadline) {
      exchange.Fail({ResultCode::kDeadlineExceeded,
                     "no complete answer from the sidecar before the deadline",
                     RunState::kUnknown});
      Cancel(exchange);
      return;
    }
    const auto until = std::min(now + config::kHopSilenceTimeout, exchange.deadline);
    const std::optional<std::string> bytes = exchange.ring->PopUntil(until);
    if (!bytes) {
      Resume(exchange);
      continue;
    }
    HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(message, DecodeSidecarMessage(*bytes));
          std::visit([&](const auto& m) { Apply(exchange, m); }, message);
          return true;
        },
        [&](const Failure& failure) {
          exchange.Fail(failure);
          return false;
        });
  }
  if (!exchange.channel) return;
  if (exchange.result.end || exchange.result.failure.run == RunState::kNotRun) {
    channels_.Release(std::move(*exchange.channel));
  } else {
    channels_.Discard(std::move(*exchange.channel));
  }
}

void AttemptClient::Resume(Exchange& exchange) {
  if (exchange.channel) {
    channels_.Discard(std::move(*exchange.channel));
    exchange.channel.reset();
  }
  const StreamVerdict verdict = exchange.assembler.OnSilence();
  if (verdict != StreamVerdict::kResume) {
    exchange.Fail({ResultCode::kConnectionSilent,
                   "no complete answer from the sidecar after the last allowed resume",
                   RunState::kUnknown});
    return;
  }
  timeline_.Record(Event::kAttemptResumed, exchange.request,
                   "next=" + std::to_string(exchange.assembler.next().value()));
  exchange.ring = std::make_shared<MessageRing>(config::kStreamRingCapacity);
  HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_ASSIGN(exchange.channel, channels_.Acquire(exchange.peer, true));
        const AttemptResumeMessage resume{exchange.attempt, exchange.assembler.next()};
        exchange.channel->channel->Receive(exchange.ring);
        return exchange.channel->channel->Send(EncodeMessage(EntryMessage(resume)));
      },
      [&](const Failure& /*failure*/) {
        exchange.ring->Close();
        return false;
      });
}

void AttemptClient::Apply(Exchange& /*exchange*/, const HelloMessage& /*message*/) {}

void AttemptClient::Apply(Exchange& exchange, const HeartbeatMessage& /*message*/) {
  if (!exchange.sink.OnHeartbeat()) Cancel(exchange);
}

void AttemptClient::Apply(Exchange& exchange, const HeadMessage& message) {
  // The sidecar sends the head again after a resume.
  if (std::exchange(exchange.head_delivered, true)) return;
  if (!exchange.sink.OnHead(message.status, message.headers)) Cancel(exchange);
}

void AttemptClient::Apply(Exchange& exchange, const ChunkMessage& message) {
  switch (exchange.assembler.OnChunk(exchange.attempt, message.sequence)) {
    case StreamVerdict::kDeliver:
      exchange.result.delivered = exchange.assembler.next();
      if (!exchange.sink.OnChunk(message.data)) Cancel(exchange);
      return;
    case StreamVerdict::kResume:
      Resume(exchange);
      return;
    case StreamVerdict::kIncomplete:
      exchange.Fail({ResultCode::kAnswerIncomplete,
                     "gap in the chunk sequence after the last allowed resume", RunState::kRan});
      return;
    default:
      return;
  }
}

void AttemptClient::Apply(Exchange& exchange, const EndMessage& message) {
  switch (exchange.assembler.OnEnd(exchange.attempt, message.count)) {
    case StreamVerdict::kComplete:
      timeline_.clock().Observe(message.sent_at);
      exchange.result.end = message;
      exchange.done = true;
      return;
    case StreamVerdict::kResume:
      Resume(exchange);
      return;
    default:
      exchange.Fail({ResultCode::kAnswerIncomplete,
                     "the number of chunks received differs from the count in the end message",
                     RunState::kRan});
      return;
  }
}

void AttemptClient::Apply(Exchange& exchange, const RefusedMessage& message) {
  exchange.result.epoch = message.epoch;
  timeline_.Record(
      Event::kAttemptRefusedByPeer, exchange.request,
      std::string(Name(message.failure.code)) + " run=" + std::string(Name(message.failure.run)));
  exchange.Fail(message.failure);
}

void AttemptClient::Cancel(Exchange& exchange) {
  exchange.result.caller_left = std::chrono::steady_clock::now() < exchange.deadline;
  if (exchange.result.failure.code == ResultCode::kInternal) {
    exchange.result.failure = {ResultCode::kCancelled,
                               "the caller disconnected before the end of the answer",
                               RunState::kRan};
  }
  exchange.done = true;
  if (!exchange.channel) return;
  exchange.channel->channel->Send(
      EncodeMessage(EntryMessage(AttemptCancelMessage{exchange.attempt})));
  channels_.Discard(std::move(*exchange.channel));
  exchange.channel.reset();
}

}  // namespace bamboodock
