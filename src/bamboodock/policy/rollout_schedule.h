#pragma once

#include <algorithm>
#include <cstdint>

#include "bamboodock/core/units.h"
#include "bamboodock/routing/operator_orders.h"

namespace bamboodock {

/// Bounds on the requests that a version which may be bad gets before its rollout's time limit.
struct ExposureLimits {
  /// Part of the service's requests.
  Ratio share{0.15};
  /// Requests besides, for all entries together.
  std::uint32_t tolerance = 30;
};

/// What is known of a rollout when its next step is decided.
struct RolloutSnapshot {
  RolloutState state = RolloutState::kRunning;
  /// Time since the order over its time limit.
  double progress = 0;
  /// Whether the evidence of all entries speaks against the new version.
  bool bad = false;
  /// Answers of the new version seen by all entries.
  std::uint64_t answers = 0;
  /// Requests that all entries have open at the old version.
  std::uint64_t open_at_old = 0;
  /// Requests of the service, to any version, that all entries have seen answered since the order.
  std::uint64_t requests = 0;
};

/// Phases of a rollout, as shares of its time limit.
struct RolloutSchedule {
  /// Share of the traffic that tries the new version out.
  Ratio trial_share{0.05};
  /// The trial begins so late that the entries have told each other which sessions ran before.
  double trial_begin = 0.08;
  /// Traffic moves from here; sessions may not change to the new version in the first half.
  double move_begin = 0.89;
  double move_end = 0.91;
  /// The rollout ends here even with requests open at the old version, so that it is in time.
  double latest_end = 0.97;
  /// Answers of the new version without which traffic is not moved.
  std::uint64_t least_answers = 8;
};

/// Phases that keep the new version within the exposure bound even if no answer of it is bad.
///
/// A version may be bad in a way that none of its answers shows while it is tried out. All traffic
/// therefore moves so late that what is left of the time limit fits the bound.
inline RolloutSchedule PlanPhases(const ExposureLimits& limits, const RolloutSnapshot& now) {
  // Part of the bound that is planned for; the rest covers bursts and entries that restart.
  constexpr double kPlannedPart = 0.85;
  // Part of the share that the trial takes.
  constexpr double kTrialPart = 0.36;
  // Traffic moves and the old version becomes idle in these parts of the last phase.
  constexpr double kMovingPart = 0.15;
  constexpr double kReservedPart = 0.35;
  // The last phase at the least, so that a low bound leaves time to end the rollout.
  constexpr double kShortest = 0.06;
  constexpr double kLongest = 0.48;
  const double expected = static_cast<double>(now.requests) / std::max(now.progress, 0.05);
  const double tolerated = limits.tolerance / std::max(expected, 1.0);
  RolloutSchedule schedule;
  schedule.trial_share = Ratio(kTrialPart * limits.share.value());
  const double trial = schedule.trial_share.value();
  const double planned = kPlannedPart * (limits.share.value() + tolerated);
  const double last = std::clamp((planned - trial) / (1 - trial), kShortest, kLongest);
  schedule.move_begin = 1 - last;
  schedule.move_end = 1 - (1 - kMovingPart) * last;
  schedule.latest_end = 1 - kReservedPart * last;
  return schedule;
}

/// Share of the traffic that goes to the new version.
inline Ratio NewVersionShare(const RolloutSchedule& schedule, const RolloutSnapshot& now) {
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
inline RolloutState NextState(const RolloutSchedule& schedule, const RolloutSnapshot& now) {
  if (now.state != RolloutState::kRunning) return now.state;
  if (now.bad) return RolloutState::kRolledBack;
  const bool moved = NewVersionShare(schedule, now).value() >= 1;
  const bool drained = now.open_at_old == 0;
  if (moved && (drained || now.progress >= schedule.latest_end)) return RolloutState::kCompleted;
  return RolloutState::kRunning;
}

}  // namespace bamboodock
