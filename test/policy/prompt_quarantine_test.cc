#include "bamboodock/policy/prompt_quarantine.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "bamboodock/policy/random.h"

namespace bamboodock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Parts = std::vector<PromptPartHash>;

constexpr PromptPartHash kFirst{1};
constexpr PromptPartHash kSecond{2};
constexpr PromptPartHash kBad{3};
constexpr PromptPartHash kAlsoBad{4};

Parts Sound(std::uint64_t number) { return {kFirst, kSecond, PromptPartHash(100 + number)}; }

/// Entries that send attempts to endpoints and exchange their evidence.
class Fleet {
 public:
  explicit Fleet(std::size_t entries) : entries_(entries) {}

  PromptQuarantine& entry(std::size_t index) { return entries_.at(index); }
  std::size_t size() const { return entries_.size(); }
  MonotonicTime now() const { return now_; }
  void Advance(Duration step) { now_ += step; }

  /// Answers with the parts are under way at an entry.
  void Survive(std::size_t entry, const Parts& parts) {
    entries_.at(entry).OnSurvived({parts, EndpointLifetimeHash(0), RequestHash(0)}, now_);
  }
  /// The answer to `crashing` crashes an endpoint, at which an answer to each of `others` is lost.
  void Crash(std::size_t entry, const Parts& crashing, const std::vector<Parts>& others = {}) {
    const EndpointLifetimeHash endpoint(++endpoints_);
    entries_.at(entry).OnLost({crashing, endpoint, RequestHash(++requests_)}, now_);
    for (const Parts& parts : others) {
      const std::size_t other = ++requests_ % entries_.size();
      entries_.at(other).OnLost({parts, endpoint, RequestHash(requests_)}, now_);
    }
  }
  /// Each entry sends its evidence to all others.
  void Exchange() {
    for (std::size_t from = 0; from < entries_.size(); ++from) {
      const auto evidence = entries_[from].Report(now_);
      for (std::size_t to = 0; to < entries_.size(); ++to) {
        if (to != from) entries_[to].Merge(evidence, now_);
      }
    }
  }
  std::set<PromptPartHash> Quarantined(std::size_t entry) {
    std::set<PromptPartHash> parts;
    for (const auto& [part, crashes] : entries_.at(entry).Quarantined(now_)) parts.insert(part);
    return parts;
  }

 private:
  MonotonicTime now_{seconds(1000)};
  std::vector<PromptQuarantine> entries_;
  std::uint32_t endpoints_ = 0;
  std::uint32_t requests_ = 0;
};

/// Plain baseline: refuses a part that has occurred in as many lost answers, whatever else is
/// known.
std::size_t BlamedByCounting(const std::vector<Parts>& lost) {
  std::map<PromptPartHash, std::uint32_t> counts;
  for (const Parts& parts : lost) {
    for (const PromptPartHash part : parts) ++counts[part];
  }
  return static_cast<std::size_t>(std::count_if(counts.begin(), counts.end(), [](auto& count) {
    return count.second >= PromptQuarantine::kMinCrashes;
  }));
}

const std::set<PromptPartHash> kNone;
const std::set<PromptPartHash> kOnlyBad{kBad};

}  // namespace

class PromptQuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromptQuarantineTest);
  CPPUNIT_TEST(CrashingPartIsFoundBesideThePartsItIsSharedWith);
  CPPUNIT_TEST(CountingAloneBlamesSoundParts);
  CPPUNIT_TEST(EvidenceOfAllEntriesIsPooled);
  CPPUNIT_TEST(EndpointsThatCrashTogetherBlameNoPart);
  CPPUNIT_TEST(WavesOfCrashesBlameNoPart);
  CPPUNIT_TEST(LostConnectionsBlameNoPart);
  CPPUNIT_TEST(OrdinaryCrashesBlameNoPart);
  CPPUNIT_TEST(LaterCrashesDoNotReleaseAPart);
  CPPUNIT_TEST(TwoCrashingPartsAreFound);
  CPPUNIT_TEST(PartThatBeginsToCrashIsFound);
  CPPUNIT_TEST(MoreSpecificPartIsPreferred);
  CPPUNIT_TEST(AbandonedAttemptsCount);
  CPPUNIT_TEST(SurvivalAtAnotherEntryClearsAPart);
  CPPUNIT_TEST(RestartedEntryLearnsFromTheOthers);
  CPPUNIT_TEST(PartThatNoLongerCrashesIsServedAgain);
  CPPUNIT_TEST(ProbesThatCrashBecomeRarer);
  CPPUNIT_TEST(MemoryAndReportsAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a quarantine of parts that sound requests share with the crashing ones.
  void CrashingPartIsFoundBesideThePartsItIsSharedWith() {
    Fleet fleet(1);
    PlayCrashes(fleet, 4);
    CPPUNIT_ASSERT(fleet.Quarantined(0) == kOnlyBad);
    CPPUNIT_ASSERT(Verdict(fleet, 0, {kFirst, kSecond, kBad}) == PromptVerdict::kRefuse);
    CPPUNIT_ASSERT(Verdict(fleet, 0, Sound(1)) == PromptVerdict::kServe);
  }

  // Shows what the plain baseline does under the same load.
  void CountingAloneBlamesSoundParts() {
    std::vector<Parts> lost(4, {kFirst, kSecond, kBad});
    lost.push_back(Sound(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, BlamedByCounting(lost));
  }

  // Guards against crashes that no entry relates to each other, because each sees only one.
  void EvidenceOfAllEntriesIsPooled() {
    Fleet fleet(5);
    for (std::size_t entry = 0; entry < 3; ++entry) {
      fleet.Survive(4, Sound(entry));
      fleet.Crash(entry, {kFirst, kSecond, kBad});
      fleet.Advance(milliseconds(300));
    }
    CPPUNIT_ASSERT(fleet.Quarantined(0) == kNone);
    fleet.Exchange();
    fleet.Exchange();
    for (std::size_t entry = 0; entry < fleet.size(); ++entry) {
      CPPUNIT_ASSERT(fleet.Quarantined(entry) == kOnlyBad);
    }
  }

  // Guards against parts that are blamed when many endpoints lose power at the same moment.
  void EndpointsThatCrashTogetherBlameNoPart() {
    Fleet fleet(2);
    for (int round = 0; round < 2; ++round) {
      for (std::uint64_t i = 0; i < 40; ++i) fleet.Crash(i % 2, Sound(i % 5), {Sound(i % 7)});
      fleet.Advance(seconds(2));
    }
    fleet.Exchange();
    CPPUNIT_ASSERT(fleet.Quarantined(0) == kNone && fleet.Quarantined(1) == kNone);
  }

  // Guards against a rare part whose requests wait at an endpoint in each of several waves of
  // crashes.
  void WavesOfCrashesBlameNoPart() {
    Fleet fleet(1);
    for (std::uint64_t wave = 0; wave < 6; ++wave) {
      fleet.Crash(0, {kFirst, kSecond});
      for (std::uint64_t i = 0; i < 3; ++i) {
        fleet.Crash(0, {kFirst, PromptPartHash(50 + 4 * wave + i)});
      }
      fleet.Advance(seconds(1));
      fleet.Survive(0, {kFirst});
    }
    CPPUNIT_ASSERT(fleet.Quarantined(0) == kNone);
  }

  // Guards against parts that are blamed when endpoints lose connections and write other answers.
  void LostConnectionsBlameNoPart() {
    PromptQuarantine quarantine;
    MonotonicTime now{seconds(1)};
    for (std::uint32_t i = 0; i < 10; ++i) {
      quarantine.OnLost({{kFirst, kBad}, EndpointLifetimeHash(i), RequestHash(i)}, now);
      now += milliseconds(300);
      quarantine.OnSurvived({{kSecond}, EndpointLifetimeHash(i), RequestHash(100 + i)}, now);
      CPPUNIT_ASSERT(quarantine.Quarantined(now).empty());
    }
  }

  // Guards against parts that are blamed for endpoints which crash one after the other by
  // themselves.
  void OrdinaryCrashesBlameNoPart() {
    Random random(7);
    Fleet fleet(3);
    for (int crash = 0; crash < 300; ++crash) {
      std::vector<Parts> others(6);
      for (Parts& parts : others) parts = Sound(random() % 40);
      fleet.Crash(random() % 3, Sound(random() % 40), others);
      for (int i = 0; i < 20; ++i) {
        fleet.Advance(milliseconds(25));
        fleet.Survive(random() % 3, Sound(random() % 40));
      }
      fleet.Exchange();
      CPPUNIT_ASSERT(fleet.Quarantined(crash % 3) == kNone);
    }
  }

  // Guards against a crashing part that is served again because endpoints crash by themselves.
  void LaterCrashesDoNotReleaseAPart() {
    Fleet fleet(1);
    PlayCrashes(fleet, 4);
    for (std::uint64_t i = 0; i < 30; ++i) {
      fleet.Crash(0, Sound(i));
      fleet.Advance(milliseconds(200));
      fleet.Survive(0, Sound(i));
    }
    CPPUNIT_ASSERT(fleet.Quarantined(0) == kOnlyBad);
  }

  // Guards against a second crashing part that the first one hides.
  void TwoCrashingPartsAreFound() {
    Fleet fleet(2);
    for (std::uint64_t i = 0; i < 5; ++i) {
      fleet.Survive(1, Sound(i));
      fleet.Crash(0, {kFirst, kSecond, kBad}, {Sound(i)});
      fleet.Advance(milliseconds(200));
      fleet.Crash(1, {kFirst, kAlsoBad}, {Sound(i)});
      fleet.Advance(milliseconds(200));
      fleet.Exchange();
    }
    CPPUNIT_ASSERT((fleet.Quarantined(0) == std::set<PromptPartHash>{kBad, kAlsoBad}));
  }

  // Guards against a part that is trusted for ever because it has survived before.
  void PartThatBeginsToCrashIsFound() {
    Fleet fleet(1);
    fleet.Survive(0, {kFirst, kSecond, kBad});
    fleet.Advance(seconds(3));
    PlayCrashes(fleet, 4);
    CPPUNIT_ASSERT(fleet.Quarantined(0) == kNone);
    PlayCrashes(fleet, 1);
    CPPUNIT_ASSERT(fleet.Quarantined(0) == kOnlyBad);
  }

  // Guards against a sound part that replaces the crashing one with which it is shared, because an
  // entry hears of one more of its losses first.
  void MoreSpecificPartIsPreferred() {
    Fleet fleet(1);
    PlayCrashes(fleet, 2);
    fleet.Crash(0, {kFirst, kSecond, PromptPartHash(77)});
    fleet.Advance(milliseconds(200));
    CPPUNIT_ASSERT(fleet.Quarantined(0) == kNone);
    PlayCrashes(fleet, 1);
    fleet.Crash(0, {kFirst, kSecond, PromptPartHash(78)});
    CPPUNIT_ASSERT(fleet.Quarantined(0) == kOnlyBad);
  }

  // Guards against crashes without a culprit, because the router cancelled its attempt just before
  // to try a larger model.
  void AbandonedAttemptsCount() {
    PromptQuarantine quarantine;
    MonotonicTime now{seconds(1)};
    for (std::uint32_t i = 0; i < 3; ++i) {
      quarantine.OnAbandoned({{kFirst, kBad}, EndpointLifetimeHash(i), RequestHash(i)}, now);
      now += milliseconds(60);
      quarantine.OnLost({{kFirst, PromptPartHash(50 + i)}, EndpointLifetimeHash(i), RequestHash(9)},
                        now);
      now += milliseconds(200);
      quarantine.OnSurvived({{kFirst}, EndpointLifetimeHash(99), RequestHash(99)}, now);
    }
    CPPUNIT_ASSERT(quarantine.Quarantined(now).contains(kBad));
  }

  // Guards against a sound part that stays in quarantine at an entry which has not served it.
  void SurvivalAtAnotherEntryClearsAPart() {
    Fleet fleet(2);
    for (int i = 0; i < 3; ++i) {
      fleet.Crash(0, {kSecond});
      fleet.Advance(milliseconds(300));
    }
    CPPUNIT_ASSERT(fleet.Quarantined(0) == std::set<PromptPartHash>{kSecond});
    fleet.Survive(1, {kSecond});
    fleet.Exchange();
    fleet.Exchange();
    CPPUNIT_ASSERT(fleet.Quarantined(0) == kNone);
  }

  // Guards against an entry that sends on crashing requests after its restart.
  void RestartedEntryLearnsFromTheOthers() {
    Fleet fleet(3);
    for (int i = 0; i < 20; ++i) PlayCrashes(fleet, 1);
    fleet.entry(1) = PromptQuarantine();
    fleet.Advance(seconds(5));
    fleet.Exchange();
    CPPUNIT_ASSERT(fleet.Quarantined(1) == kOnlyBad);
  }

  // Guards against a part that is refused for ever after its fault is gone, and against probes by
  // all entries at once.
  void PartThatNoLongerCrashesIsServedAgain() {
    Fleet fleet(2);
    PlayCrashes(fleet, 4);
    fleet.Exchange();
    const Parts parts{kFirst, kSecond, kBad};
    fleet.Advance(PromptQuarantine::kProbeDelay - seconds(1));
    CPPUNIT_ASSERT(Verdict(fleet, 0, parts) == PromptVerdict::kRefuse);
    fleet.Advance(seconds(1));
    CPPUNIT_ASSERT(fleet.entry(1).Decide(parts, 1, fleet.now()).verdict == PromptVerdict::kRefuse);
    CPPUNIT_ASSERT(Verdict(fleet, 0, parts) == PromptVerdict::kProbe);
    CPPUNIT_ASSERT(Verdict(fleet, 0, parts) == PromptVerdict::kRefuse);
    fleet.Survive(0, parts);
    fleet.Exchange();
    CPPUNIT_ASSERT(Verdict(fleet, 0, parts) == PromptVerdict::kServe);
    CPPUNIT_ASSERT(Verdict(fleet, 1, parts) == PromptVerdict::kServe);
  }

  // Guards against a part that crashes an endpoint at regular intervals for as long as requests
  // with it come.
  void ProbesThatCrashBecomeRarer() {
    Fleet fleet(1);
    PlayCrashes(fleet, 4);
    const Parts parts{kFirst, kSecond, kBad};
    int probes = 0;
    for (int second = 0; second < 600; ++second) {
      fleet.Survive(0, Sound(1));
      if (Verdict(fleet, 0, parts) != PromptVerdict::kRefuse) {
        ++probes;
        fleet.Crash(0, parts);
      }
      fleet.Advance(seconds(1));
    }
    CPPUNIT_ASSERT_EQUAL(4, probes);
    for (int probe = 0; probe < 40; ++probe) {
      fleet.Advance(PromptQuarantine::kMaxProbeDelay);
      CPPUNIT_ASSERT(Verdict(fleet, 0, parts) == PromptVerdict::kProbe);
      fleet.Crash(0, parts);
      fleet.Advance(PromptQuarantine::kMaxProbeDelay - seconds(1));
      CPPUNIT_ASSERT(Verdict(fleet, 0, parts) == PromptVerdict::kRefuse);
    }
  }

  // Guards against memory and datagrams that grow with the number of parts that callers send.
  void MemoryAndReportsAreBounded() {
    Fleet fleet(1);
    for (std::uint64_t i = 0; i < 20000; ++i) {
      fleet.Crash(0, {PromptPartHash(2 * i), PromptPartHash(2 * i + 1)});
      fleet.Survive(0, {PromptPartHash(2 * i + 1)});
    }
    CPPUNIT_ASSERT(fleet.entry(0).suspect_count() <= PromptQuarantine::kMaxSuspects);
    CPPUNIT_ASSERT(fleet.entry(0).Report(fleet.now()).size() <=
                   PromptQuarantine::kMaxReportedSuspects + PromptQuarantine::kMaxReportedCleared);
  }

 private:
  /// Crashes by the part, 300 ms apart; sound requests are lost with it, and others survive.
  static void PlayCrashes(Fleet& fleet, int crashes) {
    for (int i = 0; i < crashes; ++i) {
      const auto number = static_cast<std::uint64_t>(i);
      fleet.Survive(0, Sound(number));
      fleet.Advance(milliseconds(150));
      fleet.Crash(0, {kFirst, kSecond, kBad}, {Sound(number), Sound(number + 1)});
      fleet.Advance(milliseconds(150));
    }
  }
  static PromptVerdict Verdict(Fleet& fleet, std::size_t entry, const Parts& parts) {
    return fleet.entry(entry).Decide(parts, static_cast<std::uint32_t>(entry), fleet.now()).verdict;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptQuarantineTest);

}  // namespace bamboodock
