#include "bamboodock/policy/cascade_chooser.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace bamboodock {
namespace {

/// Expected result of starting at one step and escalating to the best follower.
struct Plan {
  std::size_t start = 0;
  double cost = 0;
  double mean = 0;
  double variance = 0;

  double Bound(double deviations) const { return mean + deviations * std::sqrt(variance); }
};

const Quality& QualityAt(const VersionQuery& query, std::size_t step, bool escalated) {
  return escalated ? query.steps[step].quality_escalated : query.steps[step].quality;
}

Plan SingleStep(const VersionQuery& query, std::size_t step, bool escalated) {
  const Quality& quality = QualityAt(query, step, escalated);
  const double deviation = quality.deviation.value();
  return {step, static_cast<double>(query.steps[step].expected_cost.value()), quality.mean.value(),
          deviation * deviation};
}

/// Whether `candidate` is the better plan for the target.
bool IsBetter(const Plan& candidate, const Plan& best, double target, double margin) {
  const bool candidate_meets = candidate.Bound(-margin) >= target;
  const bool best_meets = best.Bound(-margin) >= target;
  if (candidate_meets != best_meets) return candidate_meets;
  if (candidate_meets) return candidate.cost < best.cost;
  return candidate.mean > best.mean;
}

/// Search over plans for one request.
class Planner {
 public:
  Planner(const VersionQuery& query, double target, double margin)
      : query_(query), target_(target), margin_(margin) {}

  /// Plans that start at any step from `from` on and end within `remaining`.
  std::vector<Plan> Plans(std::size_t from, Duration remaining, std::uint32_t steps_left,
                          bool escalated) const {
    std::vector<Plan> plans;
    if (steps_left == 0) return plans;
    for (std::size_t i = from; i < query_.steps.size(); ++i) {
      const StepOption& step = query_.steps[i];
      if (step.expected_latency > remaining) continue;
      Plan plan = SingleStep(query_, i, escalated);
      const auto next = Best(Plans(i + 1, remaining - step.expected_latency, steps_left - 1, true));
      if (next) plan = WithFollower(plan, step.acceptance.value(), *next);
      plans.push_back(plan);
    }
    return plans;
  }

  std::optional<Plan> Best(const std::vector<Plan>& plans) const {
    std::optional<Plan> best;
    for (const Plan& plan : plans) {
      if (!best || IsBetter(plan, *best, target_, margin_)) best = plan;
    }
    return best;
  }

 private:
  static Plan WithFollower(Plan plan, double acceptance, const Plan& next) {
    const double rejection = 1 - acceptance;
    plan.cost += rejection * next.cost;
    plan.mean = acceptance * plan.mean + rejection * next.mean;
    plan.variance = acceptance * acceptance * plan.variance + rejection * rejection * next.variance;
    return plan;
  }

  const VersionQuery& query_;
  double target_;
  double margin_;
};

std::optional<std::size_t> FastestStep(const VersionQuery& query) {
  const auto fastest = std::min_element(query.steps.begin(), query.steps.end(),
                                        [](const StepOption& a, const StepOption& b) {
                                          return a.expected_latency < b.expected_latency;
                                        });
  if (fastest == query.steps.end()) return std::nullopt;
  return static_cast<std::size_t>(fastest - query.steps.begin());
}

}  // namespace

std::optional<std::size_t> CascadeChooser::Next(const VersionQuery& query, Random& random) const {
  const bool severe = query.overload == OverloadLevel::kSevere;
  const bool normal = query.overload == OverloadLevel::kNormal;
  if (query.rejected && severe) return std::nullopt;
  if (query.steps_taken >= query.max_steps) return std::nullopt;
  const double target = query.quality_target.value() * (severe ? kDegradedShare : 1.0);
  const Planner planner(query, target, normal ? kMargin : 0.0);
  const std::uint32_t steps_left = severe ? 1 : (query.max_steps - query.steps_taken).value();
  const std::size_t from = query.rejected ? *query.rejected + 1 : 0;
  const auto plans = planner.Plans(from, query.remaining, steps_left, query.rejected.has_value());
  const auto best = planner.Best(plans);
  // A new request too late for any step is given to the fastest one: its caller may still wait.
  if (!best) return query.rejected ? std::nullopt : FastestStep(query);
  if (normal && !query.rejected && random.Uniform() < kTrialShare) {
    for (const Plan& plan : plans) {
      if (plan.cost < best->cost && plan.Bound(kMargin) >= target) return plan.start;
    }
  }
  return best->start;
}

}  // namespace bamboodock
