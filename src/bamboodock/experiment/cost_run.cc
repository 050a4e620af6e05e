#include "bamboodock/experiment/cost_run.h"

#include <algorithm>
#include <boost/random/beta_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/normal_distribution.hpp>
#include <cmath>

#include "bamboodock/experiment/time.h"

namespace bamboodock::experiment {
namespace {

/// Slope of the logistic curve that maps skill minus difficulty to the probability of a good
/// answer.
constexpr double kLogisticSlope = 8;
/// Mean delay of a rating.
constexpr double kRatingDelaySeconds = 1800;
constexpr RequestRate kRate{1.0};

QualitySettings MakeQualitySettings(const CostSettings& settings) {
  QualitySettings quality_settings;
  quality_settings.rating_error = Ratio(settings.assumed_wrong_rating_share);
  return quality_settings;
}

}  // namespace

void CostResult::Add(const CostResult& other) {
  cost += other.cost;
  requests += other.requests;
  steps += other.steps;
  requests_by_kind.resize(other.requests_by_kind.size());
  good_by_kind.resize(other.good_by_kind.size());
  for (std::size_t i = 0; i < good_by_kind.size(); ++i) {
    requests_by_kind[i] += other.requests_by_kind[i];
    good_by_kind[i] += other.good_by_kind[i];
  }
  latency.Add(other.latency);
}

double CostResult::Quality() const {
  double good = 0;
  for (const std::uint64_t count : good_by_kind) good += static_cast<double>(count);
  return good / static_cast<double>(requests);
}

double CostResult::LowestQualityByKind() const {
  double lowest = 1;
  for (std::size_t i = 0; i < good_by_kind.size(); ++i) {
    lowest =
        std::min(lowest, static_cast<double>(good_by_kind[i]) /
                             static_cast<double>(std::max<std::uint64_t>(1, requests_by_kind[i])));
  }
  return lowest;
}

CostRun::CostRun(const Deployment& deployment, const CostSettings& settings, std::uint64_t seed)
    : deployment_(deployment),
      settings_(settings),
      chooser_(MakeVersionChooser(settings.strategy)),
      check_(settings.accept_confidence),
      table_(MakeQualitySettings(settings)),
      random_(seed),
      trace_(deployment, kRate, seed) {
  result_.requests_by_kind.resize(deployment.kinds.size());
  result_.good_by_kind.resize(deployment.kinds.size());
  SetPriors();
}

CostResult CostRun::Run() {
  for (std::size_t i = 0; i < settings_.requests; ++i) Serve(trace_.Next());
  return result_;
}

void CostRun::SetPriors() {
  constexpr int kDraws = 2000;
  boost::random::normal_distribution<> error(0, settings_.prior_error);
  for (std::size_t kind = 0; kind < deployment_.kinds.size(); ++kind) {
    const KindTraffic& traffic = deployment_.kinds[kind];
    boost::random::beta_distribution<> difficulty(traffic.difficulty_alpha,
                                                  traffic.difficulty_beta);
    for (std::size_t version = 0; version < deployment_.versions.size(); ++version) {
      double sum = 0;
      for (int i = 0; i < kDraws; ++i) sum += ProbabilityGood(version, difficulty(random_));
      const Ratio prior(std::clamp(sum / kDraws + error(random_), 0.05, 0.99));
      table_.SetPrior(Key(version, kind, false), prior);
      table_.SetPrior(Key(version, kind, true), prior);
    }
  }
}

void CostRun::ApplyDueRatings(MonotonicTime now) {
  while (!ratings_.empty() && ratings_.top().time <= now) {
    const PendingRating& rating = ratings_.top();
    table_.AddRating(rating.key, Ratio(rating.good ? 1.0 : 0.0), rating.time);
    ratings_.pop();
  }
}

void CostRun::Serve(const TraceRequest& request) {
  ApplyDueRatings(request.time);
  const std::vector<StepOption> options = Options(request);
  const KindTraffic& kind = deployment_.kinds[request.kind];
  VersionQuery query;
  query.kind = kind.kind;
  query.steps = options;
  query.quality_target = deployment_.quality_target;
  query.remaining = kind.deadline;
  Duration spent{};
  QualityKey delivered_key;
  bool good = false;
  while (const auto step = chooser_->Next(query, random_)) {
    const VersionParameters& version = deployment_.versions[*step];
    spent += version.per_prompt_token * static_cast<Duration::rep>(request.prompt.value()) +
             version.per_completion_token * static_cast<Duration::rep>(request.completion.value());
    result_.cost += static_cast<double>(options[*step].expected_cost.value());
    ++result_.steps;
    const double probability = ProbabilityGood(*step, request.difficulty);
    good = random_.Uniform() < probability;
    delivered_key = Key(*step, request.kind, query.rejected.has_value());
    const AnswerVerdict verdict = check_.Check({request.completion, DrawConfidence(probability)});
    table_.AddCheckResult(delivered_key, verdict == AnswerVerdict::kAccept, request.time);
    if (verdict == AnswerVerdict::kAccept) break;
    query.rejected = *step;
    query.steps_taken = query.steps_taken.Next();
    query.remaining = kind.deadline - spent;
  }
  ++result_.requests;
  ++result_.requests_by_kind[request.kind];
  if (good) ++result_.good_by_kind[request.kind];
  result_.latency.Add(ToSeconds(spent));
  ScheduleRating(delivered_key, good, request.time + spent);
}

std::vector<StepOption> CostRun::Options(const TraceRequest& request) const {
  std::vector<StepOption> options;
  const double expected_completion = deployment_.kinds[request.kind].completion.median;
  for (std::size_t i = 0; i < deployment_.versions.size(); ++i) {
    const VersionParameters& version = deployment_.versions[i];
    const double cost =
        (static_cast<double>(request.prompt.value() * version.cost_per_1k_prompt.value()) +
         expected_completion * static_cast<double>(version.cost_per_1k_completion.value())) /
        1000;
    StepOption option;
    option.version = version.id;
    option.expected_cost = CostMicros(static_cast<std::uint64_t>(cost));
    option.expected_latency =
        version.per_prompt_token * static_cast<Duration::rep>(request.prompt.value()) +
        version.per_completion_token * static_cast<Duration::rep>(expected_completion);
    option.quality = table_.QualityOf(Key(i, request.kind, false), request.time);
    option.quality_escalated = table_.QualityOf(Key(i, request.kind, true), request.time);
    option.acceptance = table_.Acceptance(Key(i, request.kind, false), request.time);
    options.push_back(option);
  }
  return options;
}

double CostRun::ProbabilityGood(std::size_t version, double difficulty) const {
  const double skill_margin =
      deployment_.versions[version].skill - (difficulty + settings_.added_difficulty);
  return 1 / (1 + std::exp(-kLogisticSlope * skill_margin));
}

Ratio CostRun::DrawConfidence(double probability_good) {
  constexpr double kMinConfidence = 0.45;
  constexpr double kConfidenceRange = 0.5;
  boost::random::normal_distribution<> noise(0, settings_.confidence_noise);
  return Ratio(
      std::clamp(kMinConfidence + kConfidenceRange * probability_good + noise(random_), 0.0, 1.0));
}

void CostRun::ScheduleRating(const QualityKey& key, bool good, MonotonicTime now) {
  if (random_.Uniform() >= settings_.rated_share) return;
  const bool wrong = random_.Uniform() < settings_.wrong_rating_share;
  boost::random::exponential_distribution<> delay(1 / kRatingDelaySeconds);
  ratings_.push({now + FromSeconds(delay(random_)), key, good != wrong});
}

QualityKey CostRun::Key(std::size_t version, std::size_t kind, bool escalated) const {
  return {deployment_.versions[version].id, deployment_.kinds[kind].kind, escalated};
}

}  // namespace bamboodock::experiment
