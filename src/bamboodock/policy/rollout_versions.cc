#include "bamboodock/policy/rollout_versions.h"

#include <algorithm>

namespace bamboodock {
namespace {

using Versions = std::vector<VersionId>;

bool Contains(const Versions& versions, const VersionId& version) {
  return std::find(versions.begin(), versions.end(), version) != versions.end();
}

template <class Predicate>
Versions Filter(const Versions& versions, Predicate keep) {
  Versions kept;
  std::copy_if(versions.begin(), versions.end(), std::back_inserter(kept), keep);
  return kept;
}

/// Versions of the newest order out of the accepted ones with endpoints; several when entries
/// disagree on what served before the first order.
Versions LastAccepted(const Versions& present, const VersionVerdicts& verdicts) {
  Versions versions;
  StoreRevision newest;
  for (const VersionVerdict& verdict : verdicts.List()) {
    if (verdict.standing != VersionStanding::kAccepted) continue;
    if (!Contains(present, verdict.version)) continue;
    if (!versions.empty() && verdict.order < newest) break;
    newest = verdict.order;
    versions.push_back(verdict.version);
  }
  return versions;
}

/// One decision: the versions in use and the sound ones for a query.
class Decision {
 public:
  Decision(const RolloutVersionQuery& query, const VersionVerdicts& verdicts) : query_(query) {
    const bool target_rejected = query.phase == RolloutPhase::kRejected;
    sound_ = Filter(query.present, [&](const VersionId& version) {
      return version != query.target && !verdicts.IsRejected(version);
    });
    Versions candidates = sound_;
    if (!target_rejected && Contains(query.present, query.target)) {
      candidates.push_back(query.target);
    }
    in_use_ = VersionsInUse(candidates, query.target, verdicts);
    if (!in_use_.empty()) return;
    in_use_ = candidates.empty() ? query.present : candidates;
  }

  RolloutVersionChoice Completed() const { return {{query_.target}, {}, false}; }

  RolloutVersionChoice Rejected() const { return Stay(); }

  RolloutVersionChoice Ordered() const { return IsPinnedToTarget() ? Target() : Stay(); }

  RolloutVersionChoice Trial() const {
    if (IsPinnedToTarget()) return TargetOnTrial();
    const bool may_change = !query_.pinned && !query_.held_back;
    if (!may_change || !query_.in_target_share || !IsPresent(query_.target)) return Stay();
    RolloutVersionChoice choice = TargetOnTrial();
    choice.fallback = in_use_;
    return choice;
  }

  RolloutVersionChoice Moving() const {
    if (IsPinnedToTarget()) return Target();
    if (query_.in_target_share && IsPresent(query_.target)) return Target();
    RolloutVersionChoice choice = Stay();
    choice.fallback = sound_;
    choice.fallback.push_back(query_.target);
    return choice;
  }

 private:
  bool IsPresent(const VersionId& version) const { return Contains(query_.present, version); }
  bool IsPinnedToTarget() const {
    return query_.pinned == query_.target && IsPresent(query_.target);
  }
  RolloutVersionChoice Target() const { return {{query_.target}, {}, false}; }
  /// A target that was in use before its order, or that alone can serve, is not on trial.
  RolloutVersionChoice TargetOnTrial() const {
    return {{query_.target}, {}, !Contains(in_use_, query_.target)};
  }
  /// The version of the session, or those in use.
  RolloutVersionChoice Stay() const {
    if (query_.pinned && Contains(sound_, *query_.pinned)) {
      return {{*query_.pinned}, in_use_, false};
    }
    return {in_use_, sound_, false};
  }

  const RolloutVersionQuery& query_;
  Versions sound_;
  Versions in_use_;
};

}  // namespace

Versions VersionsInUse(const Versions& present, const VersionId& target,
                       const VersionVerdicts& verdicts) {
  Versions accepted = LastAccepted(present, verdicts);
  if (!accepted.empty()) return accepted;
  Versions never_ordered = Filter(present, [&](const VersionId& version) {
    return version != target && !verdicts.StandingOf(version);
  });
  if (!never_ordered.empty()) return never_ordered;
  return Filter(present, [&](const VersionId& version) {
    return version != target && !verdicts.IsRejected(version);
  });
}

RolloutVersionChoice ChooseRolloutVersions(const RolloutVersionQuery& query,
                                           const VersionVerdicts& verdicts) {
  const Decision decision(query, verdicts);
  switch (query.phase) {
    case RolloutPhase::kOrdered:
      return decision.Ordered();
    case RolloutPhase::kTrial:
      return decision.Trial();
    case RolloutPhase::kMoving:
      return decision.Moving();
    case RolloutPhase::kRejected:
      return decision.Rejected();
    case RolloutPhase::kCompleted:
      break;
  }
  return decision.Completed();
}

}  // namespace bamboodock
