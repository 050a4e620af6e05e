#include "bamboodock/command/router/prompt_guard.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bamboodock {
namespace {

/// Evidence is sent at each call of `TakeReport` for this long after it has changed.
constexpr std::chrono::seconds kRecentEvidence{3};
/// Interval between reports of older evidence, from which restarted entries learn.
constexpr std::chrono::seconds kRefreshInterval{2};
/// Lower limit of the time after which a refused caller may come again.
constexpr std::chrono::milliseconds kMinRetryAfter{1000};

std::uint64_t Hash(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

/// Hashes of the parts that other requests may share: all but the last one.
std::vector<PromptPartHash> SharedParts(const CallerRequest& request) {
  std::vector<PromptPartHash> hashes;
  const std::vector<PromptPart>& parts = request.metadata.prompt_parts;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) hashes.emplace_back(Hash(parts[i].id.value()));
  return hashes;
}

std::string ToHex(PromptPartHash part) { return fmt::format("{:016x}", part.value()); }

EndpointLifetimeHash HashLifetime(const EndpointId& id, StartTime started) {
  const std::uint64_t hash = XXH3_64bits_withSeed(id.value().data(), id.value().size(),
                                                  static_cast<std::uint64_t>(started.value()));
  return EndpointLifetimeHash(static_cast<std::uint32_t>(hash));
}

}  // namespace

std::optional<PromptRefusal> PromptGuard::Check(const CallerRequest& request,
                                                const EntryRanking& ranking, MonotonicTime now) {
  const std::vector<PromptPartHash> parts = SharedParts(request);
  const auto& quarantined = quarantine_.Quarantined(now);
  LogChanges(now);
  const auto part = std::find_if(parts.begin(), parts.end(),
                                 [&](PromptPartHash hash) { return quarantined.contains(hash); });
  if (part == parts.end()) return std::nullopt;
  const PromptDecision decision = quarantine_.Decide(parts, ranking.Rank(ToHex(*part)), now);
  const std::string& id = request.metadata.prompt_parts.at(decision.index).id.value();
  std::string detail = fmt::format("prompt part {} crashes endpoints, hash={} crashes={}", id,
                                   ToHex(parts.at(decision.index)), decision.crashes);
  if (decision.verdict == PromptVerdict::kProbe) {
    log_.Write(Event::kPromptPartProbed, RequestId(request.metadata.attempt.value()), detail);
    return std::nullopt;
  }
  return PromptRefusal{std::move(detail), std::max<Duration>(decision.retry_after, kMinRetryAfter)};
}

void PromptGuard::Apply(const PromptReport& report, MonotonicTime now) {
  PromptAttempt attempt{
      SharedParts(*report.request), HashLifetime(report.endpoint, report.started),
      RequestHash(static_cast<std::uint32_t>(Hash(report.request->metadata.attempt.value())))};
  switch (report.fate) {
    case PromptFate::kUnderWay:
      quarantine_.OnSurvived(attempt, now);
      break;
    case PromptFate::kLost:
      quarantine_.OnLost(attempt, now);
      break;
    case PromptFate::kAbandoned:
      quarantine_.OnAbandoned(std::move(attempt), now);
      break;
  }
}

void PromptGuard::Apply(const PromptEvidenceReport& report, MonotonicTime now) {
  quarantine_.Merge(report.parts, now);
}

void PromptGuard::LogChanges(MonotonicTime now) {
  const auto& quarantined = quarantine_.Quarantined(now);
  for (const auto& [part, crashes] : quarantined) {
    if (logged_.contains(part)) continue;
    log_.Write(Event::kPromptPartQuarantined, RequestId(),
               fmt::format("hash={} crashes={}", ToHex(part), crashes));
  }
  for (const auto& [part, crashes] : logged_) {
    if (quarantined.contains(part)) continue;
    log_.Write(Event::kPromptPartReleased, RequestId(), "hash=" + ToHex(part));
  }
  logged_ = quarantined;
}

std::optional<PromptEvidenceReport> PromptGuard::TakeReport(MonotonicTime now) {
  LogChanges(now);
  if (quarantine_.revision() != reported_revision_) {
    reported_revision_ = quarantine_.revision();
    evidence_changed_at_ = now;
  }
  const bool recent = now - evidence_changed_at_ < kRecentEvidence;
  if (!recent && now - reported_at_ < kRefreshInterval) return std::nullopt;
  reported_at_ = now;
  PromptEvidenceReport report{self_, quarantine_.Report(now)};
  if (report.parts.empty()) return std::nullopt;
  return report;
}

}  // namespace bamboodock
