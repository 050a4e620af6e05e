#pragma once

#include <cstdint>

#include "bamboodock/core/units.h"
#include "bamboodock/routing/operator_orders.h"

namespace bamboodock {

/// What is known of a rollout when its next step is decided.
struct RolloutSituation {
  RolloutState state = RolloutState::kRunning;
  /// Time since the order over its time limit.
  double progress = 0;
  /// Whether the evidence of all entries speaks against the new version.
  bool bad = false;
  /// Answers of the new version seen by all entries.
  std::uint64_t answers = 0;
  /// Requests that all entries have open at the old version.
  std::uint64_t open_at_old = 0;
};

/// Phases of a rollout, as shares of its time limit.
struct RolloutSchedule {
  /// Share of the traffic that tries the new version out.
  Ratio trial_share{0.10};
  /// The trial begins so late that the entries have told each other which sessions ran before.
  double trial_begin = 0.08;
  /// Sessions may not change to the new version in the first half.
  double move_begin = 0.52;
  double move_end = 0.64;
  /// Earliest end, when the old version has no open requests.
  double earliest_end = 0.68;
  /// The rollout ends here even with requests open at the old version, so that it is in time.
  double latest_end = 0.88;
  /// Answers of the new version without which traffic is not moved.
  std::uint64_t least_answers = 8;
};

/// Share of the traffic that goes to the new version.
inline Ratio NewVersionShare(const RolloutSchedule& schedule, const RolloutSituation& now) {
  if (now.state == RolloutState::kCompleted) return Ratio(1);
  if (now.state == RolloutState::kRolledBack || now.bad) return Ratio(0);
  if (now.progress < schedule.trial_begin) return Ratio(0);
  const double trial = schedule.trial_share.value();
  if (now.progress < schedule.move_begin || now.answers < schedule.least_answers) {
    return Ratio(trial);
  }
  if (now.progress >= schedule.move_end) return Ratio(1);
  const double moved =
      (now.progress - schedule.move_begin) / (schedule.move_end - schedule.move_begin);
  return Ratio(trial + (1 - trial) * moved);
}

/// State that the rollout is to have next.
inline RolloutState NextState(const RolloutSchedule& schedule, const RolloutSituation& now) {
  if (now.state != RolloutState::kRunning) return now.state;
  if (now.bad) return RolloutState::kRolledBack;
  const bool moved = NewVersionShare(schedule, now).value() >= 1;
  const bool drained = now.open_at_old == 0 && now.progress >= schedule.earliest_end;
  if (moved && (drained || now.progress >= schedule.latest_end)) return RolloutState::kCompleted;
  return RolloutState::kRunning;
}

}  // namespace bamboodock
