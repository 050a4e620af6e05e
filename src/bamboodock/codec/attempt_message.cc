#include "bamboodock/codec/attempt_message.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace bamboodock {
namespace {

using Json = nlohmann::json;

std::string Pack(const Json& json) {
  std::string bytes;
  Json::to_msgpack(json, bytes);
  return bytes;
}

Json Binary(const std::string& data) {
  return Json::binary(std::vector<std::uint8_t>(data.begin(), data.end()));
}

std::string Text(const Json& json) {
  const auto& bytes = json.get_binary();
  return {bytes.begin(), bytes.end()};
}

Json EncodeHeaders(const std::vector<HttpHeader>& headers) {
  Json list = Json::array();
  for (const HttpHeader& header : headers) list.push_back({header.name, Binary(header.value)});
  return list;
}

std::vector<HttpHeader> DecodeHeaders(const Json& list) {
  std::vector<HttpHeader> headers;
  headers.reserve(list.size());
  for (const Json& entry : list) {
    headers.push_back({entry.at(0).get<std::string>(), Text(entry.at(1))});
  }
  return headers;
}

Json ToJson(const AttemptStartMessage& m) {
  return {{"type", "start"},
          {"attempt", m.attempt.value()},
          {"request", m.request.value()},
          {"account", m.account.value()},
          {"kind", m.kind == AttemptKind::kChat ? "chat" : "call"},
          {"model", m.model.value()},
          {"version", m.version.value()},
          {"service", m.service.value()},
          {"step", m.step.value()},
          {"prior_cost", m.prior_cost.value()},
          {"prior_prompt", m.prior_prompt.value()},
          {"prior_completion", m.prior_completion.value()},
          {"epoch", m.epoch.value()},
          {"incarnation", m.incarnation.value()},
          {"deadline", m.deadline.time_since_epoch().count()},
          {"priority", m.priority},
          {"idempotency_key", Binary(m.idempotency_key.value())},
          {"repeatable", m.repeatable},
          {"method", m.method},
          {"path", Binary(m.path)},
          {"headers", EncodeHeaders(m.headers)},
          {"body", Binary(m.body)},
          {"sent_at", m.sent_at.value()}};
}

Json ToJson(const AttemptResumeMessage& m) {
  return {{"type", "resume"}, {"attempt", m.attempt.value()}, {"next", m.next.value()}};
}

Json ToJson(const AttemptCancelMessage& m) {
  return {{"type", "cancel"}, {"attempt", m.attempt.value()}};
}

Json ToJson(const HelloMessage& m) {
  return {{"type", "hello"},
          {"incarnation", m.incarnation.value()},
          {"clock", m.clock.time_since_epoch().count()}};
}

Json ToJson(const HeartbeatMessage& /*m*/) { return {{"type", "alive"}}; }

Json ToJson(const HeadMessage& m) {
  return {{"type", "head"}, {"status", m.status}, {"headers", EncodeHeaders(m.headers)}};
}

Json ToJson(const ChunkMessage& m) {
  return {{"type", "chunk"}, {"seq", m.sequence.value()}, {"data", Binary(m.data)}};
}

Json ToJson(const EndMessage& m) {
  return {{"type", "end"},
          {"count", m.count.value()},
          {"prompt", m.prompt.value()},
          {"completion", m.completion.value()},
          {"cost", m.cost.value()},
          {"confidence", m.confidence.value()},
          {"sent_at", m.sent_at.value()}};
}

Json ToJson(const RefusedMessage& m) {
  return {{"type", "refused"},
          {"code", static_cast<int>(m.failure.code)},
          {"run", Name(m.failure.run)},
          {"detail", Binary(m.failure.detail)},
          {"retry_after_ms", m.failure.retry_after.count()},
          {"epoch", m.epoch.value()}};
}

AttemptStartMessage DecodeStart(const Json& json) {
  AttemptStartMessage m;
  m.attempt = AttemptId(json.at("attempt"));
  m.request = RequestId(json.at("request"));
  m.account = ClientAccountId(json.at("account"));
  m.kind = json.at("kind") == "chat" ? AttemptKind::kChat : AttemptKind::kCall;
  m.model = ModelId(json.at("model"));
  m.version = VersionId(json.at("version"));
  m.service = ServiceId(json.at("service"));
  m.step = StepNumber(json.at("step"));
  m.prior_cost = CostMicros(json.at("prior_cost"));
  m.prior_prompt = Tokens(json.at("prior_prompt"));
  m.prior_completion = Tokens(json.at("prior_completion"));
  m.epoch = Epoch(json.at("epoch"));
  m.incarnation = IncarnationId(json.at("incarnation"));
  m.deadline = MonotonicTime(Duration(json.at("deadline")));
  m.priority = json.at("priority");
  m.idempotency_key = IdempotencyKey(Text(json.at("idempotency_key")));
  m.repeatable = json.at("repeatable");
  m.method = json.at("method");
  m.path = Text(json.at("path"));
  m.headers = DecodeHeaders(json.at("headers"));
  m.body = Text(json.at("body"));
  m.sent_at = EventTime(json.at("sent_at"));
  return m;
}

Result<EntryMessage> EntryMessageFromJson(const Json& json) {
  const std::string type = json.at("type");
  if (type == "start") return EntryMessage(DecodeStart(json));
  if (type == "resume") {
    return EntryMessage(
        AttemptResumeMessage{AttemptId(json.at("attempt")), SequenceNumber(json.at("next"))});
  }
  if (type == "cancel") return EntryMessage(AttemptCancelMessage{AttemptId(json.at("attempt"))});
  return Raise(ResultCode::kBadMessage, "unknown message type; expected start, resume or cancel",
               RunState::kUnknown);
}

EndMessage DecodeEnd(const Json& json) {
  EndMessage m;
  m.count = SequenceNumber(json.at("count"));
  m.prompt = Tokens(json.at("prompt"));
  m.completion = Tokens(json.at("completion"));
  m.cost = CostMicros(json.at("cost"));
  m.confidence = Ratio(json.at("confidence"));
  m.sent_at = EventTime(json.at("sent_at"));
  return m;
}

RefusedMessage DecodeRefused(const Json& json) {
  RefusedMessage m;
  m.failure.code = static_cast<ResultCode>(json.at("code").get<int>());
  m.failure.run = RunStateFromName(json.at("run").get<std::string>());
  m.failure.detail = Text(json.at("detail"));
  m.failure.retry_after = std::chrono::milliseconds(json.at("retry_after_ms"));
  m.epoch = Epoch(json.at("epoch"));
  return m;
}

Result<SidecarMessage> SidecarMessageFromJson(const Json& json) {
  const std::string type = json.at("type");
  if (type == "hello") {
    return SidecarMessage(HelloMessage{IncarnationId(json.at("incarnation")),
                                       MonotonicTime(Duration(json.at("clock")))});
  }
  if (type == "alive") return SidecarMessage(HeartbeatMessage{});
  if (type == "head") {
    return SidecarMessage(HeadMessage{json.at("status"), DecodeHeaders(json.at("headers"))});
  }
  if (type == "chunk") {
    return SidecarMessage(ChunkMessage{SequenceNumber(json.at("seq")), Text(json.at("data"))});
  }
  if (type == "end") return SidecarMessage(DecodeEnd(json));
  if (type == "refused") return SidecarMessage(DecodeRefused(json));
  return Raise(ResultCode::kBadMessage,
               "unknown message type; expected hello, alive, head, chunk, end or refused",
               RunState::kUnknown);
}

template <class Message, class From>
Result<Message> Decode(std::string_view bytes, From from) {
  try {
    return from(Json::from_msgpack(bytes.begin(), bytes.end()));
  } catch (const Json::exception& error) {
    return Raise(ResultCode::kBadMessage, error.what(), RunState::kUnknown);
  }
}

}  // namespace

std::string EncodeMessage(const EntryMessage& message) {
  return Pack(std::visit([](const auto& m) { return ToJson(m); }, message));
}

std::string EncodeMessage(const SidecarMessage& message) {
  return Pack(std::visit([](const auto& m) { return ToJson(m); }, message));
}

Result<EntryMessage> DecodeEntryMessage(std::string_view bytes) {
  return Decode<EntryMessage>(bytes, EntryMessageFromJson);
}

Result<SidecarMessage> DecodeSidecarMessage(std::string_view bytes) {
  return Decode<SidecarMessage>(bytes, SidecarMessageFromJson);
}

}  // namespace bamboodock
