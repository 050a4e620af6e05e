#include "bamboodock/codec/control_message.h"

#include <nlohmann/json.hpp>

namespace bamboodock {
namespace {

using Json = nlohmann::json;

Json ToJson(const VersionCounters& v) {
  const EvidenceCounters& c = v.counters;
  return {{"model", v.model.value()},
          {"version", v.version.value()},
          {"answers", c.answers},
          {"errors", c.errors},
          {"slow", c.slow},
          {"ratings", c.ratings},
          {"bad_ratings", c.bad_ratings}};
}

VersionCounters DecodeCounters(const Json& json) {
  VersionCounters v;
  v.model = ModelId(json.at("model"));
  v.version = VersionId(json.at("version"));
  v.counters.answers = json.at("answers");
  v.counters.errors = json.at("errors");
  v.counters.slow = json.at("slow");
  v.counters.ratings = json.at("ratings");
  v.counters.bad_ratings = json.at("bad_ratings");
  return v;
}

Json ToJson(const PendingSet& p) {
  return {{"publication", p.publication.value()}, {"epoch", p.epoch.value()}, {"set", p.set}};
}

PendingSet DecodePending(const Json& json) {
  return {PublicationId(json.at("publication")), Epoch(json.at("epoch")), json.at("set")};
}

template <class List>
Json ListToJson(const List& list) {
  Json array = Json::array();
  for (const auto& entry : list) array.push_back(ToJson(entry));
  return array;
}

/// Runs `decode` and reports a wrong or missing field as `kBadMessage`.
template <class Message, class Decode>
Result<Message> DecodeFields(Decode decode) {
  try {
    Message message;
    decode(message);
    return message;
  } catch (const Json::exception& error) {
    return Raise(ResultCode::kBadMessage, error.what());
  }
}

}  // namespace

Json ToJson(const SyncRequest& m) {
  return {{"endpoint", m.endpoint.value()},
          {"incarnation", m.incarnation.value()},
          {"epoch", m.epoch.value()},
          {"in_flight", m.in_flight.value()},
          {"limit", m.limit.value()},
          {"warm", m.warm},
          {"leaving", m.leaving},
          {"reported_load", m.reported_load.value()},
          {"report_age_ms", m.report_age.count()},
          {"evidence", ListToJson(m.evidence)}};
}

Json ToJson(const ConfigStatus& m) {
  return {{"host", m.host.value()},
          {"epoch", m.epoch.value()},
          {"publication", m.publication.value()},
          {"fresh", m.fresh},
          {"age_ms", m.age.count()},
          {"attests", m.attests},
          {"complete", m.complete},
          {"pending", ListToJson(m.pending)},
          {"set", m.set}};
}

Json ToJson(const WitnessRequest& m) {
  return {{"host", m.host.value()}, {"epoch", m.epoch.value()}};
}

Json ToJson(const PrepareRequest& m) { return {{"pending", ToJson(m.pending)}}; }

Json ToJson(const PrepareResponse& m) {
  return {{"acknowledged", m.acknowledged},
          {"epoch", m.epoch.value()},
          {"host", m.host.value()},
          {"incarnation", m.incarnation.value()}};
}

Json ToJson(const AnnounceRequest& m) {
  return {{"epoch", m.epoch.value()}, {"publication", m.publication.value()}, {"set", m.set}};
}

Json ToJson(const SettleRequest& m) {
  return {{"request", m.request.value()}, {"step", m.step.value()}};
}

template <>
Result<SyncRequest> FromJson<SyncRequest>(const Json& json) {
  return DecodeFields<SyncRequest>([&](SyncRequest& m) {
    m.endpoint = EndpointId(json.at("endpoint"));
    m.incarnation = IncarnationId(json.at("incarnation"));
    m.epoch = Epoch(json.at("epoch"));
    m.in_flight = Concurrency(json.at("in_flight"));
    m.limit = Concurrency(json.at("limit"));
    m.warm = json.at("warm");
    m.leaving = json.at("leaving");
    m.reported_load = Concurrency(json.at("reported_load"));
    m.report_age = std::chrono::milliseconds(json.at("report_age_ms"));
    for (const Json& entry : json.at("evidence")) m.evidence.push_back(DecodeCounters(entry));
  });
}

template <>
Result<ConfigStatus> FromJson<ConfigStatus>(const Json& json) {
  return DecodeFields<ConfigStatus>([&](ConfigStatus& m) {
    m.host = HostId(json.at("host"));
    m.epoch = Epoch(json.at("epoch"));
    m.publication = PublicationId(json.at("publication"));
    m.fresh = json.at("fresh");
    m.age = std::chrono::milliseconds(json.at("age_ms"));
    m.attests = json.at("attests");
    m.complete = json.at("complete");
    for (const Json& entry : json.at("pending")) m.pending.push_back(DecodePending(entry));
    m.set = json.at("set");
  });
}

template <>
Result<WitnessRequest> FromJson<WitnessRequest>(const Json& json) {
  return DecodeFields<WitnessRequest>([&](WitnessRequest& m) {
    m.host = HostId(json.at("host"));
    m.epoch = Epoch(json.at("epoch"));
  });
}

template <>
Result<PrepareRequest> FromJson<PrepareRequest>(const Json& json) {
  return DecodeFields<PrepareRequest>(
      [&](PrepareRequest& m) { m.pending = DecodePending(json.at("pending")); });
}

template <>
Result<PrepareResponse> FromJson<PrepareResponse>(const Json& json) {
  return DecodeFields<PrepareResponse>([&](PrepareResponse& m) {
    m.acknowledged = json.at("acknowledged");
    m.epoch = Epoch(json.at("epoch"));
    m.host = HostId(json.at("host"));
    m.incarnation = IncarnationId(json.at("incarnation"));
  });
}

template <>
Result<AnnounceRequest> FromJson<AnnounceRequest>(const Json& json) {
  return DecodeFields<AnnounceRequest>([&](AnnounceRequest& m) {
    m.epoch = Epoch(json.at("epoch"));
    m.publication = PublicationId(json.at("publication"));
    m.set = json.at("set");
  });
}

template <>
Result<SettleRequest> FromJson<SettleRequest>(const Json& json) {
  return DecodeFields<SettleRequest>([&](SettleRequest& m) {
    m.request = RequestId(json.at("request"));
    m.step = StepNumber(json.at("step"));
  });
}

}  // namespace bamboodock
