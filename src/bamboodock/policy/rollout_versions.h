#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"
#include "bamboodock/policy/version_verdicts.h"

namespace bamboodock {

/// Phase of a rollout as far as it decides which versions get requests.
enum class RolloutPhase : std::uint8_t {
  /// The order has been read, and no progress of it yet.
  kOrdered,
  /// The target gets a small share of the traffic; sessions do not change to it.
  kTrial,
  /// Traffic moves to the target.
  kMoving,
  /// Judged bad or rolled back.
  kRejected,
  kCompleted,
};

/// What decides which versions of a service one request may get.
struct RolloutVersionQuery {
  RolloutPhase phase = RolloutPhase::kOrdered;
  VersionId target;
  /// Versions with endpoints that do not drain.
  std::vector<VersionId> present;
  /// Whether the request falls into the target's share of the traffic.
  bool in_target_share = false;
  /// Version of the previous request of the session; empty when there is none within the session
  /// timeout.
  std::optional<VersionId> pinned;
  /// Whether another entry has reported that the session runs on another version than the target.
  bool held_back = false;
};

/// Versions that a request may get.
struct RolloutVersionChoice {
  std::vector<VersionId> preferred;
  /// Used when no endpoint of the preferred versions is usable; may be empty.
  std::vector<VersionId> fallback;
  /// Whether the request goes to the target as part of its trial.
  bool on_trial = false;
};

/// Decides which versions of a service a request may get while there is a rollout order.
///
/// | phase     | session on the target | session on another sound version | other requests        |
/// |-----------|-----------------------|----------------------------------|-----------------------|
/// | ordered   | target                | its version, then in use         | in use, then sound    |
/// | trial     | target                | its version, then in use         | by share: target or in
/// use, then sound | | moving    | target                | by share, as the others          | by
/// share: target, or in use, then any but rejected | | rejected  | in use, then sound    | its
/// version, then in use         | in use, then sound    | | completed | target                |
/// target                           | target                |
///
/// "In use" is the version that was in use before the order, see `VersionsInUse`; when that is the
/// target, or no other sound version has endpoints, the target counts as such, except when it is
/// rejected. "Sound" are versions other than the target that are not rejected. Rejected versions
/// are used only while no other version has endpoints.
RolloutVersionChoice ChooseRolloutVersions(const RolloutVersionQuery& query,
                                           const VersionVerdicts& verdicts);

/// Versions out of `present` that were in use before the order for `target`: the one that was
/// accepted last, else those that were never ordered, else those that are undecided. Contains the
/// target only if it was accepted before.
std::vector<VersionId> VersionsInUse(const std::vector<VersionId>& present, const VersionId& target,
                                     const VersionVerdicts& verdicts);

}  // namespace bamboodock
