#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "bamboodock/policy/prompt_evidence.h"
#include "bamboodock/policy/recent_times.h"

namespace bamboodock {

/// One attempt, as far as it tells something about the parts of its prompt.
struct PromptAttempt {
  /// Parts that other requests may share, in the order of the prompt.
  std::vector<PromptPartHash> parts;
  EndpointLifetimeHash endpoint;
  RequestHash request;
};

/// What to do with a request because of the parts of its prompt.
enum class PromptVerdict : std::uint8_t {
  kServe,
  /// Serve it, to find out whether a quarantined part still crashes endpoints.
  kProbe,
  kRefuse,
};

/// Verdict with the evidence behind it.
struct PromptDecision {
  PromptVerdict verdict = PromptVerdict::kServe;
  /// Index of the quarantined part in the prompt; meaningless for `kServe`.
  std::size_t index = 0;
  /// Endpoints that crashed under the part since an answer with it was last under way.
  std::uint32_t crashes = 0;
  /// Time until the part may be probed again.
  Duration retry_after{};
};

/// Finds prompt parts that crash endpoints, and keeps requests with such a part from the others.
///
/// Load pattern: each endpoint that begins to write an answer to a prompt with one certain part
/// crashes, and its other requests are lost with it. The requests with that part are few, come at
/// any entry and are retried.
///
/// All parts of an answer that is lost early are suspects. A part is cleared when an answer with it
/// is under way somewhere. The part that explains most of the remaining crashes is quarantined once
/// these are enough, as in the greedy solution of a set cover: the crashes that it explains no
/// longer speak against other parts. More are needed the more crashes it does not explain.
///
/// A crash does not count when other endpoints crash at the same moment, since a common cause is
/// more likely then, nor when the endpoint writes answers soon afterwards: it has lost a connection
/// only.
///
/// Evidence is exchanged among the entries as a set that only grows until it expires, so that lost,
/// repeated and reordered reports do no harm. Memory is bounded whatever parts callers send.
class PromptQuarantine {
 public:
  /// Crashes, apart in time and at different endpoints, from which a part is quarantined.
  static constexpr std::uint32_t kMinCrashes = 3;
  /// One more is needed for each group of this many crashes that the part does not explain.
  static constexpr std::uint32_t kOtherCrashesPerCrash = 3;
  /// Further crashes needed for a part that has survived before.
  static constexpr std::uint32_t kExtraCrashesIfProven = 2;
  /// Time since the part last survived, if it has.
  static constexpr std::chrono::seconds kMinTimeSinceSurvival{2};
  /// Requests in which the part must have occurred.
  static constexpr std::size_t kMinRequests = 2;
  /// Time after the last crash until a part is probed; doubles with each probe that crashes.
  static constexpr std::chrono::seconds kProbeDelay{30};
  static constexpr std::chrono::seconds kMaxProbeDelay{600};
  /// Entries probe in the order of their ranks, each this much later than the one before.
  static constexpr std::chrono::seconds kProbeStagger{10};
  /// Evidence is forgotten after this time without a further crash.
  static constexpr std::chrono::seconds kEvidenceLifetime{1800};
  /// Limits of what is remembered.
  static constexpr std::size_t kMaxSuspects = 512;
  static constexpr std::size_t kMaxLossesPerPart = 32;
  static constexpr std::size_t kMaxSurvivors = 4096;
  static constexpr std::size_t kMaxCrashes = 256;
  static constexpr std::size_t kMaxRefuted = 4096;
  /// Limits of what is reported to the other entries.
  static constexpr std::size_t kMaxReportedSuspects = 8;
  static constexpr std::size_t kMaxReportedCleared = 4;
  static constexpr std::size_t kMaxReportedLosses = 6;

  /// Records that the connection was lost before the answer was under way.
  void OnLost(const PromptAttempt& attempt, MonotonicTime now);
  /// Records that this entry cancelled an attempt soon after its answer had begun. If its endpoint
  /// crashes at once, the attempt counts as lost.
  void OnAbandoned(PromptAttempt attempt, MonotonicTime now);
  /// Records that the answer is under way.
  void OnSurvived(const PromptAttempt& attempt, MonotonicTime now);
  /// Adds the evidence of another entry.
  void Merge(const std::vector<PromptPartEvidence>& evidence, MonotonicTime now);

  /// Decides about a request.
  /// @param rank Rank of this entry from 0, in an order on which all entries agree.
  PromptDecision Decide(const std::vector<PromptPartHash>& parts, std::uint32_t rank,
                        MonotonicTime now);

  /// Evidence for the other entries, most important first.
  std::vector<PromptPartEvidence> Report(MonotonicTime now);
  /// Parts in quarantine with the number of their crashes.
  const std::map<PromptPartHash, std::uint32_t>& Quarantined(MonotonicTime now);
  /// Changes with each new piece of evidence.
  std::uint64_t revision() const { return revision_; }
  std::size_t suspect_count() const { return suspects_.size(); }

 private:
  struct Suspect {
    std::uint32_t position = 0;
    /// Sorted by time.
    std::vector<LostAnswer> losses;
    /// When the part was last known to have survived while an entry still suspected it.
    MonotonicTime contested_at{};
    MonotonicTime probed_at{};
  };
  /// Losses of a part that count.
  struct Tally {
    PromptPartHash part;
    std::uint32_t position = 0;
    std::uint32_t crashes = 0;
    std::size_t requests = 0;
    std::set<EndpointLifetimeHash> endpoints;
    MonotonicTime first_at{};
    MonotonicTime last_at{};
  };
  struct Abandoned {
    PromptAttempt attempt;
    MonotonicTime at{};
  };

  /// Adds a loss; returns whether it is new and later than the last survival of the part.
  bool AddLoss(PromptPartHash part, std::uint32_t position, const LostAnswer& loss);
  /// Adds the crash of the loss unless it is known.
  void AddCrash(const LostAnswer& loss);
  /// Adds the abandoned attempts at the endpoint of the loss.
  void AddAbandoned(const LostAnswer& loss);
  void EvictSuspects();
  void Expire(MonotonicTime now);
  /// Removes recent losses at an endpoint that writes answers.
  void RemoveLosses(EndpointLifetimeHash endpoint, MonotonicTime now);
  /// Whether the loss was no crash, since the endpoint wrote answers shortly afterwards.
  bool IsRefuted(const LostAnswer& loss) const;
  /// Whether an endpoint that is in neither set crashed at this moment.
  bool HasCommonCause(MonotonicTime at, const std::set<EndpointLifetimeHash>& own,
                      const std::set<EndpointLifetimeHash>& explained) const;
  Tally Count(PromptPartHash part, const Suspect& suspect,
              const std::set<EndpointLifetimeHash>& explained) const;
  /// Crashes from the first to the last one of the tally for which neither the part nor `explained`
  /// accounts.
  std::uint32_t CountOthers(const Tally& tally,
                            const std::set<EndpointLifetimeHash>& explained) const;
  /// Crashes of the part beyond those needed for a quarantine; negative when there are too few.
  std::int64_t Surplus(const Tally& tally, const std::set<EndpointLifetimeHash>& explained,
                       MonotonicTime now) const;
  /// Whether a more specific part explains most of the crashes of the tally.
  static bool IsDominated(const Tally& tally, const std::vector<Tally>& others);
  /// The part that explains most of the crashes that are not explained yet; empty when none
  /// explains enough of them.
  std::optional<Tally> FindCulprit(const std::set<EndpointLifetimeHash>& explained,
                                   MonotonicTime now) const;
  void Evaluate(MonotonicTime now);
  static MonotonicTime ProbeTime(const Suspect& suspect);
  PromptPartEvidence MakeEvidence(PromptPartHash part, const Suspect& suspect) const;

  std::map<PromptPartHash, Suspect> suspects_;
  /// When an answer to a prompt with the part was last under way.
  RecentTimes<PromptPartHash> survivors_{kMaxSurvivors};
  /// Time up to which losses at the endpoint were no crashes.
  RecentTimes<EndpointLifetimeHash> refuted_{kMaxRefuted};
  std::deque<Abandoned> abandoned_;
  /// One early loss of each crash, oldest first.
  std::deque<LostAnswer> crashes_;
  std::map<PromptPartHash, std::uint32_t> quarantined_;
  std::uint64_t revision_ = 0;
  std::uint64_t evaluated_revision_ = 0;
  MonotonicTime evaluated_at_{};
};

}  // namespace bamboodock
