#include "bamboodock/codec/peer_codec.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace bamboodock {
namespace {

using Json = nlohmann::json;

Json EncodeCounters(const EvidenceCounters& counters) {
  return Json::array({counters.answers, counters.errors, counters.slow, counters.streams,
                      counters.slow_streams, counters.silent, counters.paced,
                      counters.above_quartile});
}

EvidenceCounters DecodeCounters(const Json& json) {
  EvidenceCounters counters;
  counters.answers = json.at(0).get<std::uint64_t>();
  counters.errors = json.at(1).get<std::uint64_t>();
  counters.slow = json.at(2).get<std::uint64_t>();
  // Entries of the previous release send three counts and keep running during a rolling upgrade.
  if (json.size() > 3) counters.streams = json.at(3).get<std::uint64_t>();
  if (json.size() > 4) counters.slow_streams = json.at(4).get<std::uint64_t>();
  if (json.size() > 5) counters.silent = json.at(5).get<std::uint64_t>();
  if (json.size() > 7) {
    counters.paced = json.at(6).get<std::uint64_t>();
    counters.above_quartile = json.at(7).get<std::uint64_t>();
  }
  return counters;
}

Json EncodeEvidence(const RolloutEvidence& evidence) {
  Json held_back = Json::array();
  for (const SessionHash hash : evidence.held_back) held_back.push_back(hash.value());
  return {evidence.service.value(),
          evidence.order_revision.number,
          EncodeCounters(evidence.answers),
          EncodeCounters(evidence.old_answers),
          evidence.open_at_old,
          held_back,
          evidence.order_revision.era.value()};
}

RolloutEvidence DecodeEvidence(const Json& json) {
  RolloutEvidence evidence;
  evidence.service = ServiceId(json.at(0).get<std::string>());
  evidence.order_revision.number = json.at(1).get<std::uint64_t>();
  evidence.answers = DecodeCounters(json.at(2));
  evidence.old_answers = DecodeCounters(json.at(3));
  evidence.open_at_old = json.at(4).get<std::uint64_t>();
  for (const Json& hash : json.at(5)) evidence.held_back.emplace_back(hash.get<std::uint32_t>());
  // Entries of earlier releases name no era.
  if (json.size() > 6) evidence.order_revision.era = StoreEra(json.at(6).get<std::uint64_t>());
  return evidence;
}

/// Number of fields of each kind of message; a report has more.
constexpr std::size_t kEvidenceFields = 2;
constexpr std::size_t kRateLimitFields = 3;
/// Version of the message with rate limits.
constexpr std::uint32_t kRateLimitVersion = 1;
/// Upper limit of a time on the store's clock that is accepted, about thirty years.
constexpr std::int64_t kMaxStoreTimeMs = 1'000'000'000'000;
/// Upper limit of an age that is accepted.
constexpr std::int64_t kMaxAgeMs = 86400000;

std::int64_t AgeMs(MonotonicTime at, MonotonicTime now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
}

MonotonicTime FromAge(const Json& age, MonotonicTime now) {
  return now -
         std::chrono::milliseconds(std::clamp<std::int64_t>(age.get<std::int64_t>(), 0, kMaxAgeMs));
}

std::chrono::milliseconds DecodeStoreTime(const Json& json) {
  return std::chrono::milliseconds(
      std::clamp<std::int64_t>(json.get<std::int64_t>(), 0, kMaxStoreTimeMs));
}

PromptPartEvidence DecodePart(const Json& json, MonotonicTime now) {
  PromptPartEvidence part;
  part.part = PromptPartHash(json.at(0).get<std::uint64_t>());
  part.position = json.at(1).get<std::uint32_t>();
  if (!json.at(2).is_null()) part.survived_at = FromAge(json.at(2), now);
  for (const Json& loss : json.at(3)) {
    part.losses.push_back({EndpointLifetimeHash(loss.at(0).get<std::uint32_t>()),
                           RequestHash(loss.at(1).get<std::uint32_t>()), FromAge(loss.at(2), now)});
  }
  return part;
}

PromptEvidenceReport DecodePromptEvidence(const Json& message, MonotonicTime now) {
  PromptEvidenceReport report{HostId(message.at(0).get<std::string>()), {}};
  for (const Json& part : message.at(1)) report.parts.push_back(DecodePart(part, now));
  return report;
}

/// Empty when the message is of another version or names an invalid rate.
std::optional<PeerMessage> DecodeRateLimits(const Json& message) {
  if (message.at(1).get<std::uint32_t>() != kRateLimitVersion) return std::nullopt;
  RateLimitReport report{HostId(message.at(0).get<std::string>()), {}};
  for (const Json& json : message.at(2)) {
    ReportedRateLimit limit{EndpointId(json.at(0).get<std::string>()),
                            StartTime(json.at(1).get<std::int64_t>()), std::nullopt,
                            DecodeStoreTime(json.at(3))};
    if (!json.at(2).is_null()) {
      const auto rate = json.at(2).get<double>();
      if (!std::isfinite(rate) || rate < 0) return std::nullopt;
      limit.limit = RequestRate(rate);
    }
    report.limits.push_back(std::move(limit));
  }
  return report;
}

/// Slowdowns are sent in percent.
constexpr double kPercent = 100;
/// Limits of what is accepted from other hosts.
constexpr double kMaxSlowdown = 1000;
constexpr double kMaxAnswers = 1e9;
/// Stands for an absent model.
constexpr std::int64_t kNoModel = -1;

Json EncodeSlowdowns(const std::vector<EndpointSlowdown>& slowdowns) {
  Json list = Json::array();
  for (const EndpointSlowdown& entry : slowdowns) {
    const auto percent = static_cast<std::uint32_t>(std::lround(entry.slowdown.value() * kPercent));
    list.push_back(Json::array({entry.endpoint.value(), percent}));
  }
  return list;
}

EndpointSlowdown DecodeSlowdown(const Json& json) {
  const double slowdown = json.at(1).get<std::uint32_t>() / kPercent;
  return {EndpointId(json.at(0).get<std::string>()), Slowdown(std::min(slowdown, kMaxSlowdown))};
}

Json EncodeAcceptance(const std::vector<ModelAcceptance>& acceptance) {
  Json list = Json::array();
  for (const ModelAcceptance& entry : acceptance) {
    const std::int64_t previous = entry.previous ? std::int64_t{*entry.previous} : kNoModel;
    list.push_back(
        Json::array({entry.route.value(), entry.model, previous, static_cast<float>(entry.accepted),
                     static_cast<float>(entry.judged)}));
  }
  return list;
}

/// Empty when the counts cannot be those of any entry.
std::optional<ModelAcceptance> DecodeAcceptance(const Json& json) {
  ModelAcceptance entry;
  entry.route = RouteHash(json.at(0).get<std::uint32_t>());
  entry.model = json.at(1).get<std::uint32_t>();
  const auto previous = json.at(2).get<std::int64_t>();
  if (previous >= 0) entry.previous = static_cast<std::uint32_t>(previous);
  entry.accepted = json.at(3).get<double>();
  entry.judged = json.at(4).get<double>();
  const bool valid =
      entry.accepted >= 0 && entry.accepted <= entry.judged && entry.judged <= kMaxAnswers;
  return valid ? std::optional(entry) : std::nullopt;
}

/// Reads the fields that entries of earlier releases do not send.
void DecodeLaterFields(const Json& message, PeerReport& report) {
  constexpr std::size_t kSlowdownField = 5;
  constexpr std::size_t kAcceptanceField = 6;
  if (message.size() <= kAcceptanceField) return;
  for (const Json& json : message.at(kSlowdownField)) {
    report.slowdowns.push_back(DecodeSlowdown(json));
  }
  for (const Json& json : message.at(kAcceptanceField)) {
    if (const auto entry = DecodeAcceptance(json)) report.acceptance.push_back(*entry);
  }
}

PeerReport DecodeReport(const Json& message) {
  PeerReport report;
  report.host = HostId(message.at(0).get<std::string>());
  report.incarnation = IncarnationId(message.at(1).get<std::string>());
  for (const Json& evidence : message.at(2)) report.rollouts.push_back(DecodeEvidence(evidence));
  for (const Json& work : message.at(3)) {
    report.pending.push_back(
        {EndpointId(work.at(0).get<std::string>()), Tokens(work.at(1).get<std::uint64_t>())});
  }
  if (message.size() <= 4) return report;
  report.orders.digest = message.at(4).at(0).get<std::uint64_t>();
  report.orders.until = DecodeStoreTime(message.at(4).at(1));
  if (message.at(4).size() > 2) {
    report.orders.era = StoreEra(message.at(4).at(2).get<std::uint64_t>());
  }
  DecodeLaterFields(message, report);
  return report;
}

}  // namespace

std::string EncodePeerReport(const PeerReport& report) {
  Json rollouts = Json::array();
  for (const RolloutEvidence& evidence : report.rollouts) {
    rollouts.push_back(EncodeEvidence(evidence));
  }
  Json pending = Json::array();
  for (const PendingWork& work : report.pending) {
    pending.push_back(Json::array({work.endpoint.value(), work.work.value()}));
  }
  const Json message{
      report.host.value(),
      report.incarnation.value(),
      rollouts,
      pending,
      Json::array({report.orders.digest, report.orders.until.count(), report.orders.era.value()}),
      EncodeSlowdowns(report.slowdowns),
      EncodeAcceptance(report.acceptance)};
  std::string bytes;
  Json::to_msgpack(message, bytes);
  return bytes;
}

std::string EncodePromptEvidence(const PromptEvidenceReport& report, MonotonicTime now) {
  Json parts = Json::array();
  for (const PromptPartEvidence& part : report.parts) {
    Json losses = Json::array();
    for (const LostAnswer& loss : part.losses) {
      losses.push_back(
          Json::array({loss.endpoint.value(), loss.request.value(), AgeMs(loss.at, now)}));
    }
    const Json survived = part.survived_at ? Json(AgeMs(*part.survived_at, now)) : Json();
    parts.push_back(Json::array({part.part.value(), part.position, survived, losses}));
  }
  std::string bytes;
  Json::to_msgpack(Json::array({report.host.value(), parts}), bytes);
  return bytes;
}

std::string EncodeRateLimits(const RateLimitReport& report) {
  Json limits = Json::array();
  for (const ReportedRateLimit& limit : report.limits) {
    const Json rate = limit.limit ? Json(limit.limit->value()) : Json();
    limits.push_back(
        Json::array({limit.endpoint.value(), limit.started.value(), rate, limit.stated.count()}));
  }
  std::string bytes;
  Json::to_msgpack(Json::array({report.host.value(), kRateLimitVersion, limits}), bytes);
  return bytes;
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes, MonotonicTime now) {
  try {
    const Json message = Json::from_msgpack(bytes);
    if (message.size() == kEvidenceFields) return DecodePromptEvidence(message, now);
    if (message.size() == kRateLimitFields) return DecodeRateLimits(message);
    return DecodeReport(message);
  } catch (const Json::exception&) {
    // No failure is raised, since any host can send a datagram; the caller logs it.
    return std::nullopt;
  }
}

}  // namespace bamboodock
