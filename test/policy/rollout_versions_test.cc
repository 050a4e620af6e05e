#include "bamboodock/policy/rollout_versions.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <functional>

namespace bamboodock {
namespace {

using Versions = std::vector<VersionId>;

const VersionId kOld("v1");
const VersionId kEarlier("v2");
const VersionId kTarget("v3");

constexpr std::array kPhases{RolloutPhase::kOrdered, RolloutPhase::kTrial, RolloutPhase::kMoving,
                             RolloutPhase::kRejected, RolloutPhase::kCompleted};
constexpr std::array kPhasesWithTarget{RolloutPhase::kOrdered, RolloutPhase::kTrial,
                                       RolloutPhase::kMoving};
/// What may be known of a version: nothing, or one of the standings.
constexpr std::array<std::optional<VersionStanding>, 4> kStandings{
    std::nullopt, VersionStanding::kUndecided, VersionStanding::kRejected,
    VersionStanding::kAccepted};

bool Has(const Versions& versions, const VersionId& version) {
  return std::find(versions.begin(), versions.end(), version) != versions.end();
}

/// One state of a service with three versions.
struct State {
  RolloutVersionQuery query;
  VersionVerdicts verdicts;

  bool IsPresent(const VersionId& version) const { return Has(query.present, version); }
  bool IsRejected(const VersionId& version) const {
    if (version == query.target) return query.phase == RolloutPhase::kRejected;
    return verdicts.IsRejected(version);
  }
  bool HasSoundVersion() const {
    return std::any_of(query.present.begin(), query.present.end(),
                       [&](const VersionId& version) { return !IsRejected(version); });
  }
  RolloutVersionChoice Choose() const { return ChooseRolloutVersions(query, verdicts); }
};

VersionVerdicts MakeVerdicts(std::optional<VersionStanding> old,
                             std::optional<VersionStanding> earlier,
                             std::optional<VersionStanding> target) {
  VersionVerdicts verdicts;
  if (old) verdicts.Merge({kOld, {}, *old});
  if (earlier) verdicts.Merge({kEarlier, {StoreEra(1), 41}, *earlier});
  if (target) verdicts.Merge({kTarget, {StoreEra(1), 30}, *target});
  return verdicts;
}

/// Visits each combination of pins and shares of a request.
void ForEachRequest(State state, const std::function<void(const State&)>& visit) {
  const std::array<std::optional<VersionId>, 4> pins{std::nullopt, kOld, kEarlier, kTarget};
  for (const auto& pin : pins) {
    for (const bool in_share : {false, true}) {
      for (const bool held_back : {false, true}) {
        state.query.pinned = pin;
        state.query.in_target_share = in_share;
        state.query.held_back = held_back;
        visit(state);
      }
    }
  }
}

/// Visits all states of a service with up to three versions: 35,840 of them.
void ForEachState(const std::function<void(const State&)>& visit) {
  constexpr int kSubsets = 8;
  for (const RolloutPhase phase : kPhases) {
    for (int subset = 1; subset < kSubsets; ++subset) {
      for (const auto& old : kStandings) {
        for (const auto& earlier : kStandings) {
          for (const auto& target : kStandings) {
            State state;
            state.query.phase = phase;
            state.query.target = kTarget;
            if ((subset & 1) != 0) state.query.present.push_back(kOld);
            if ((subset & 2) != 0) state.query.present.push_back(kEarlier);
            if ((subset & 4) != 0) state.query.present.push_back(kTarget);
            state.verdicts = MakeVerdicts(old, earlier, target);
            ForEachRequest(state, visit);
          }
        }
      }
    }
  }
}

}  // namespace

class RolloutVersionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutVersionsTest);
  CPPUNIT_TEST(RejectedVersionIsALastResort);
  CPPUNIT_TEST(SomeVersionIsAlwaysAllowed);
  CPPUNIT_TEST(SessionDoesNotChangeBeforeTrafficMoves);
  CPPUNIT_TEST(TargetGetsItsShareOnly);
  CPPUNIT_TEST(LastAcceptedVersionIsInUse);
  CPPUNIT_TEST(TargetInUseIsNotOnTrial);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request that reaches a rejected version while another one has endpoints.
  void RejectedVersionIsALastResort() {
    ForEachState([](const State& state) {
      if (!state.HasSoundVersion() || state.query.phase == RolloutPhase::kCompleted) return;
      const RolloutVersionChoice choice = state.Choose();
      for (const Versions& versions : {choice.preferred, choice.fallback}) {
        for (const VersionId& version : versions) CPPUNIT_ASSERT(!state.IsRejected(version));
      }
    });
  }

  // Guards against refusal of all requests while there are endpoints.
  void SomeVersionIsAlwaysAllowed() {
    ForEachState([](const State& state) {
      if (state.query.phase == RolloutPhase::kCompleted) return;
      const Versions preferred = state.Choose().preferred;
      CPPUNIT_ASSERT(!preferred.empty());
      for (const VersionId& version : preferred) CPPUNIT_ASSERT(state.IsPresent(version));
    });
  }

  // Guards against sessions that change their version in the first half of a rollout.
  void SessionDoesNotChangeBeforeTrafficMoves() {
    ForEachState([](const State& state) {
      const RolloutPhase phase = state.query.phase;
      if (phase == RolloutPhase::kMoving || phase == RolloutPhase::kCompleted) return;
      const auto& pinned = state.query.pinned;
      if (!pinned || !state.IsPresent(*pinned) || state.IsRejected(*pinned)) return;
      CPPUNIT_ASSERT(state.Choose().preferred == Versions{*pinned});
    });
  }

  // Guards against a target on trial that gets more requests than its share: as a fallback, or from
  // sessions that other entries hold back.
  void TargetGetsItsShareOnly() {
    ForEachState([](const State& state) {
      const RolloutVersionQuery& query = state.query;
      if (query.phase != RolloutPhase::kTrial && query.phase != RolloutPhase::kOrdered) return;
      const bool is_in_use = Has(VersionsInUse(query.present, kTarget, state.verdicts), kTarget);
      const bool others_can_serve =
          std::any_of(query.present.begin(), query.present.end(), [&](const VersionId& version) {
            return version != kTarget && !state.IsRejected(version);
          });
      if (is_in_use || !others_can_serve || query.pinned == kTarget) return;
      const RolloutVersionChoice choice = state.Choose();
      CPPUNIT_ASSERT(!Has(choice.fallback, kTarget));
      const bool may_get_it = query.phase == RolloutPhase::kTrial && query.in_target_share &&
                              !query.held_back && !query.pinned;
      CPPUNIT_ASSERT(may_get_it || !Has(choice.preferred, kTarget));
      CPPUNIT_ASSERT(choice.on_trial == Has(choice.preferred, kTarget));
    });
  }

  // Guards against work for a version that was replaced, or never decided, beside the one in use.
  void LastAcceptedVersionIsInUse() {
    const Versions all{kOld, kEarlier, kTarget};
    const auto in_use = [&](std::optional<VersionStanding> old,
                            std::optional<VersionStanding> earlier) {
      return VersionsInUse(all, kTarget, MakeVerdicts(old, earlier, std::nullopt));
    };
    CPPUNIT_ASSERT(in_use(VersionStanding::kAccepted, VersionStanding::kAccepted) ==
                   Versions{kEarlier});
    CPPUNIT_ASSERT(in_use(VersionStanding::kAccepted, VersionStanding::kUndecided) ==
                   Versions{kOld});
    CPPUNIT_ASSERT(in_use(std::nullopt, VersionStanding::kUndecided) == Versions{kOld});
    CPPUNIT_ASSERT(in_use(std::nullopt, VersionStanding::kRejected) == Versions{kOld});
    CPPUNIT_ASSERT(in_use(std::nullopt, std::nullopt) == (Versions{kOld, kEarlier}));
    CPPUNIT_ASSERT(in_use(VersionStanding::kRejected, VersionStanding::kUndecided) ==
                   Versions{kEarlier});
  }

  // Guards against an order of the version in use that takes its traffic away.
  void TargetInUseIsNotOnTrial() {
    for (const RolloutPhase phase : kPhasesWithTarget) {
      State state;
      state.query.phase = phase;
      state.query.target = kTarget;
      state.query.present = {kEarlier, kTarget};
      state.verdicts =
          MakeVerdicts(std::nullopt, VersionStanding::kRejected, VersionStanding::kAccepted);
      const RolloutVersionChoice choice = state.Choose();
      CPPUNIT_ASSERT(choice.preferred == Versions{kTarget} && !choice.on_trial);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutVersionsTest);

}  // namespace bamboodock
