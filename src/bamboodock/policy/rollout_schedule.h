#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "bamboodock/core/units.h"
#include "bamboodock/routing/operator_orders.h"

namespace bamboodock {

/// Limits on the requests that go to a possibly bad version before the time limit of its rollout.
struct ExposureLimits {
  /// Share of the requests of the service.
  Ratio share{0.15};
  /// Further requests, for all entries together.
  double tolerance = 30;
};

/// State of a rollout at the time at which its next step is decided.
struct RolloutSnapshot {
  RolloutState state = RolloutState::kRunning;
  /// Time limit of the order.
  Duration time_limit = std::chrono::seconds(60);
  /// Time since the order for the rollout, as a fraction of its time limit.
  double progress = 0;
  /// Whether the new version was found to be bad from the evidence of all entries.
  bool bad = false;
  /// Whether the evidence speaks against the new version without proving anything.
  bool suspect = false;
  /// Answers of the new version, in total over all entries.
  std::uint64_t answers = 0;
  /// Open requests at the old version, in total over all entries.
  std::uint64_t open_at_old = 0;
  /// Answered requests of the service since the order, at any version, in total over all entries.
  std::uint64_t requests = 0;
};

/// Phases of a rollout; times are fractions of its time limit.
struct RolloutSchedule {
  /// Share of the traffic that goes to the new version during the trial.
  Ratio trial_share{0.05};
  /// Start of the trial, late enough for the entries to exchange which sessions recently ran on
  /// another version.
  double trial_begin = 0.08;
  /// Traffic moves to the new version between these times. Sessions must not change to the new
  /// version in the first half of the rollout.
  double move_begin = 0.89;
  double move_end = 0.91;
  /// The rollout completes here even with requests open at the old version, to keep its time limit.
  double max_end = 0.97;
  /// Minimum number of answers of the new version before traffic is moved.
  std::uint64_t min_answers = 8;
};

/// Phases that keep the new version within the exposure limits even if none of its answers is bad.
///
/// A version may be bad in a way that no answer shows during the trial. Traffic therefore moves so
/// late that the requests in the remaining time stay within the limits.
inline RolloutSchedule MakeRolloutSchedule(const ExposureLimits& limits,
                                           const RolloutSnapshot& snapshot) {
  // Fraction of the limit that is planned for; the rest covers bursts and entries that restart.
  constexpr double kPlannedFraction = 0.85;
  // Fraction of the share that the trial uses.
  constexpr double kTrialFraction = 0.36;
  // Fractions of the last phase: traffic moves during the first one, at its start; the second one,
  // at its end, is a reserve within the time limit; the old version drains in between.
  constexpr double kMovingFraction = 0.15;
  constexpr double kReservedFraction = 0.35;
  // The reserve is at least this long: an order may be seen late, and its completion is written to
  // the store.
  constexpr std::chrono::milliseconds kMinReserve{1000};
  // Minimum and maximum length of the last phase. The minimum leaves time to complete the rollout
  // under a low limit.
  constexpr double kMinLastPhase = 0.06;
  constexpr double kMaxLastPhase = 0.48;
  const double expected =
      static_cast<double>(snapshot.requests) / std::max(snapshot.progress, 0.05);
  const double tolerated = limits.tolerance / std::max(expected, 1.0);
  RolloutSchedule schedule;
  schedule.trial_share = Ratio(kTrialFraction * limits.share.value());
  const double trial = schedule.trial_share.value();
  const double planned = kPlannedFraction * (limits.share.value() + tolerated);
  const double last_phase =
      std::clamp((planned - trial) / (1 - trial), kMinLastPhase, kMaxLastPhase);
  schedule.move_begin = 1 - last_phase;
  schedule.move_end = 1 - (1 - kMovingFraction) * last_phase;
  const double min_reserve =
      std::chrono::duration<double>(kMinReserve) /
      std::max<std::chrono::duration<double>>(snapshot.time_limit, kMinReserve);
  const double reserve = std::max(kReservedFraction * last_phase, min_reserve);
  schedule.max_end = std::max(schedule.move_end, 1 - reserve);
  return schedule;
}

/// Share of the traffic that goes to the new version in the state `snapshot`. A suspect version
/// stays on trial, even beyond its time limit: a late rollout does less harm than a bad one.
inline Ratio NewVersionShare(const RolloutSchedule& schedule, const RolloutSnapshot& snapshot) {
  if (snapshot.state == RolloutState::kCompleted) return Ratio(1);
  if (snapshot.state == RolloutState::kRolledBack || snapshot.bad) return Ratio(0);
  if (snapshot.progress < schedule.trial_begin) return Ratio(0);
  const double trial = schedule.trial_share.value();
  const bool too_little_evidence = snapshot.answers < schedule.min_answers || snapshot.suspect;
  if (snapshot.progress < schedule.move_begin || too_little_evidence) return Ratio(trial);
  if (snapshot.progress >= schedule.move_end) return Ratio(1);
  const double moved =
      (snapshot.progress - schedule.move_begin) / (schedule.move_end - schedule.move_begin);
  return Ratio(trial + (1 - trial) * moved);
}

/// Next state of the rollout.
inline RolloutState NextState(const RolloutSchedule& schedule, const RolloutSnapshot& snapshot) {
  if (snapshot.state != RolloutState::kRunning) return snapshot.state;
  if (snapshot.bad) return RolloutState::kRolledBack;
  const bool moved = NewVersionShare(schedule, snapshot).value() >= 1;
  const bool drained = snapshot.open_at_old == 0;
  if (moved && (drained || snapshot.progress >= schedule.max_end)) return RolloutState::kCompleted;
  return RolloutState::kRunning;
}

}  // namespace bamboodock
