#include "bamboodock/policy/version_verdicts.h"

#include <algorithm>

namespace bamboodock {
namespace {

/// A copy of the store is some seconds old, and entries that expired in an outage are back within
/// seconds of its end, so endpoints that are gone for longer do not return.
constexpr std::chrono::seconds kMaxAbsence{60};

bool IsNewer(const VersionVerdict& verdict, const VersionVerdict& known) {
  if (verdict.order != known.order) return verdict.order > known.order;
  return verdict.standing > known.standing;
}

}  // namespace

std::string_view Name(VersionStanding standing) {
  switch (standing) {
    case VersionStanding::kUndecided:
      return "undecided";
    case VersionStanding::kRejected:
      return "rejected";
    case VersionStanding::kAccepted:
      break;
  }
  return "accepted";
}

bool VersionVerdicts::Merge(const VersionVerdict& verdict) {
  const auto [found, added] = entries_.try_emplace(verdict.version, Entry{verdict});
  if (!added) {
    if (!IsNewer(verdict, found->second.verdict)) return false;
    found->second.verdict = verdict;
    return true;
  }
  if (entries_.size() > kMaxVerdicts) DropOldest();
  return entries_.contains(verdict.version);
}

void VersionVerdicts::DropOldest() {
  const auto oldest = std::min_element(entries_.begin(), entries_.end(), [](auto& a, auto& b) {
    return a.second.verdict.order < b.second.verdict.order;
  });
  entries_.erase(oldest);
}

void VersionVerdicts::ForgetAbsent(const std::vector<VersionId>& present, MonotonicTime now) {
  for (auto& [version, entry] : entries_) {
    const bool is_present = std::find(present.begin(), present.end(), version) != present.end();
    if (is_present) {
      entry.absent_since.reset();
    } else if (!entry.absent_since) {
      entry.absent_since = now;
    }
  }
  std::erase_if(entries_, [&](const auto& item) {
    const auto& since = item.second.absent_since;
    return since && now - *since > kMaxAbsence;
  });
}

std::optional<VersionStanding> VersionVerdicts::StandingOf(const VersionId& version) const {
  const auto found = entries_.find(version);
  if (found == entries_.end()) return std::nullopt;
  return found->second.verdict.standing;
}

bool VersionVerdicts::IsRejected(const VersionId& version) const {
  return StandingOf(version) == VersionStanding::kRejected;
}

bool VersionVerdicts::HasAccepted() const {
  return std::any_of(entries_.begin(), entries_.end(), [](const auto& item) {
    return item.second.verdict.standing == VersionStanding::kAccepted;
  });
}

bool VersionVerdicts::Includes(const std::vector<VersionVerdict>& verdicts) const {
  return std::all_of(verdicts.begin(), verdicts.end(), [&](const VersionVerdict& verdict) {
    const auto found = entries_.find(verdict.version);
    return found != entries_.end() && !IsNewer(verdict, found->second.verdict);
  });
}

std::vector<VersionVerdict> VersionVerdicts::List() const {
  std::vector<VersionVerdict> verdicts;
  verdicts.reserve(entries_.size());
  for (const auto& [version, entry] : entries_) verdicts.push_back(entry.verdict);
  std::sort(verdicts.begin(), verdicts.end(),
            [](const auto& a, const auto& b) { return a.order > b.order; });
  return verdicts;
}

}  // namespace bamboodock
