#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "bamboodock/experiment/event_loop.h"
#include "bamboodock/experiment/rollout_settings.h"
#include "bamboodock/policy/random.h"
#include "bamboodock/policy/rollout_guard.h"
#include "bamboodock/policy/version_evidence.h"

namespace bamboodock::experiment {

struct RolloutResult {
  /// Bad answers to callers from the time at which the version degraded, including answers to
  /// requests that were open at the withdrawal.
  std::uint64_t bad_answers = 0;
  std::uint64_t answers = 0;
  /// Time of the first withdrawal by any entry.
  std::optional<MonotonicTime> withdrawn_at;
};

/// Simulates one roll-out: sources count answers and report to all entries, and any entry may
/// withdraw the version.
class RolloutRun {
 public:
  RolloutRun(const RolloutSettings& settings, std::uint64_t seed);

  RolloutResult Run();

 private:
  /// Sidecar that counts answers and ratings.
  struct Source {
    IncarnationId id;
    EvidenceCounters counters;
    /// Offset within the sync interval at which the source reports.
    Duration sync_offset{};
    bool sync_scheduled = false;
  };

  /// Evidence and guard of one entry.
  struct Entry {
    VersionEvidence evidence;
    RolloutGuard guard;
    /// Evidence at the start of the current window, for the fixed threshold.
    EvidenceCounters window_start;
    std::int64_t window = 0;
    bool stopped = false;
  };

  void OnArrival();
  void OnAnswer(std::size_t source, bool error, bool bad);
  void OnRating(std::size_t source, bool bad);
  /// Schedules the next report of a source. It is called only after new counts, since a report
  /// without them would change nothing.
  void ScheduleSync(std::size_t source);
  void Sync(std::size_t source);
  bool ShouldWithdraw(Entry& entry) const;
  bool ExceedsThreshold(Entry& entry) const;
  void Withdraw(Entry& entry);
  /// Index of the roll-out step in force.
  std::size_t CurrentStep() const;
  Duration DrawExponential(Duration mean);
  bool DrawBernoulli(Ratio probability) { return random_.Uniform() < probability.value(); }

  RolloutSettings settings_;
  EventLoop loop_;
  Random random_;
  std::vector<Source> sources_;
  std::vector<Entry> entries_;
  RolloutResult result_;
};

}  // namespace bamboodock::experiment
