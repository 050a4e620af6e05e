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
  /// Bad answers that callers got after the version turned bad, until its last answer.
  std::uint64_t bad_answers = 0;
  std::uint64_t answers = 0;
  std::optional<MonotonicTime> withdrawn;
};

/// One roll-out: answers at many sources, reports to entries, withdrawal by any entry.
class RolloutRun {
 public:
  RolloutRun(const RolloutSettings& settings, std::uint64_t seed);

  RolloutResult Run();

 private:
  struct Source {
    IncarnationId id;
    EvidenceCounters counters;
    /// Time within the interval at which the source syncs.
    Duration sync_offset{};
    bool sync_scheduled = false;
  };

  /// Rule and evidence of one entry.
  struct Entry {
    VersionEvidence evidence;
    RolloutGuard guard;
    /// Total at the start of the current window, for the fixed threshold.
    EvidenceCounters window_start;
    std::int64_t window = 0;
    bool stopped = false;
  };

  void OnArrival();
  void OnAnswer(std::size_t source, bool error, bool bad);
  void OnRating(std::size_t source, bool bad);
  /// Plans the next sync of a source with new counts; a sync without news changes nothing.
  void ScheduleSync(std::size_t source);
  void Sync(std::size_t source);
  bool ShouldWithdraw(Entry& entry) const;
  bool ExceedsThreshold(Entry& entry) const;
  void Withdraw(Entry& entry);
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
