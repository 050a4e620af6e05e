#pragma once

#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "bamboodock/experiment/deployment.h"
#include "bamboodock/experiment/samples.h"
#include "bamboodock/experiment/trace.h"
#include "bamboodock/policy/answer_check.h"
#include "bamboodock/policy/quality_table.h"
#include "bamboodock/policy/version_strategy.h"

namespace bamboodock::experiment {

/// Settings of one run of the cost experiment.
struct CostSettings {
  std::string name;
  VersionStrategy strategy = VersionStrategy::kCascade;
  Ratio accept_confidence{0.8};
  std::size_t requests = 50000;
  /// Standard deviation of the error of the qualities stated in the object set.
  double prior_error = 0.05;
  /// Standard deviation of the noise on the mean token probability.
  double confidence_noise = 0.06;
  /// Added to the difficulty of each request.
  double added_difficulty = 0;
  /// Share of delivered answers that are rated.
  double rated_share = 0.05;
  /// Share of ratings that are wrong.
  double wrong_rating_share = 0.05;
  /// Share of wrong ratings that the quality estimates assume.
  double assumed_wrong_rating_share = 0.05;
};

/// Totals of one or more runs.
struct CostResult {
  /// In micros, as `CostMicros`.
  double cost = 0;
  std::uint64_t requests = 0;
  /// Calls of a version; several for each escalated request.
  std::uint64_t steps = 0;
  std::vector<std::uint64_t> requests_by_kind;
  std::vector<std::uint64_t> good_by_kind;
  /// Service time of each request over all of its steps, in seconds.
  Samples latency;

  void Add(const CostResult& other);
  /// Share of good answers among all requests.
  double Quality() const;
  /// Share of good answers for the kind of request that has the lowest one.
  double LowestQualityByKind() const;
};

/// Runs one generated trace through a version strategy, the answer check and the quality table.
///
/// Requests do not queue: a step takes only the service time of its version.
class CostRun {
 public:
  CostRun(const Deployment& deployment, const CostSettings& settings, std::uint64_t seed);

  CostResult Run();

 private:
  struct PendingRating {
    MonotonicTime time;
    QualityKey key;
    bool good;

    /// Reversed, so that the priority queue yields the earliest rating first.
    bool operator<(const PendingRating& other) const { return time > other.time; }
  };

  void SetPriors();
  void ApplyDueRatings(MonotonicTime now);
  void Serve(const TraceRequest& request);
  std::vector<StepOption> Options(const TraceRequest& request) const;
  double ProbabilityGood(std::size_t version, double difficulty) const;
  Ratio DrawConfidence(double probability_good);
  void ScheduleRating(const QualityKey& key, bool good, MonotonicTime now);
  QualityKey Key(std::size_t version, std::size_t kind, bool escalated) const;

  const Deployment& deployment_;
  CostSettings settings_;
  std::unique_ptr<VersionChooser> chooser_;
  AnswerCheck check_;
  QualityTable table_;
  Random random_;
  TraceGenerator trace_;
  std::priority_queue<PendingRating> ratings_;
  CostResult result_;
};

}  // namespace bamboodock::experiment
