#pragma once

#include <map>
#include <optional>
#include <string>

#include "bamboodock/command/router/route_commands.h"
#include "bamboodock/observe/event_log.h"
#include "bamboodock/policy/entry_ranking.h"
#include "bamboodock/policy/prompt_quarantine.h"

namespace bamboodock {

/// Refusal of a request because of a part of its prompt.
struct PromptRefusal {
  std::string detail;
  Duration retry_after{};
};

/// Keeps requests with a prompt part that crashes endpoints from the endpoints.
///
/// Translates requests and reports for `PromptQuarantine` and logs its decisions. Used on the
/// planning duty's thread only.
class PromptGuard {
 public:
  PromptGuard(HostId self, EventLog& log) : self_(std::move(self)), log_(log) {}

  /// Refusal of the request; empty when it may be sent.
  std::optional<PromptRefusal> Check(const CallerRequest& request, const EntryRanking& ranking,
                                     MonotonicTime now);
  void Apply(const PromptReport& report, MonotonicTime now);
  void Apply(const PromptEvidenceReport& report, MonotonicTime now);

  /// Evidence to send to the other entries; empty when none is due. Recent evidence is sent at each
  /// call, other evidence every `kRefreshInterval`.
  std::optional<PromptEvidenceReport> TakeReport(MonotonicTime now);
  std::size_t quarantined_count() const { return logged_.size(); }

 private:
  /// Logs the parts that entered or left quarantine.
  void LogChanges(MonotonicTime now);

  HostId self_;
  EventLog& log_;
  PromptQuarantine quarantine_;
  /// Quarantined parts as logged last.
  std::map<PromptPartHash, std::uint32_t> logged_;
  std::uint64_t reported_revision_ = 0;
  MonotonicTime evidence_changed_at_{};
  MonotonicTime reported_at_{};
};

}  // namespace bamboodock
