#include "bamboodock/policy/cascade_chooser.h"

#include <algorithm>
#include <boost/random/normal_distribution.hpp>
#include <vector>

namespace bamboodock {
namespace {

/// Qualities of one step as sampled for one request; the means under overload.
struct SampledQuality {
  double quality = 0;
  double quality_escalated = 0;
};

double Sample(const Quality& quality, Random& random) {
  boost::random::normal_distribution<> normal;
  const double sample = quality.mean.value() + normal(random) * quality.deviation.value();
  return std::clamp(sample, 0.0, 1.0);
}

std::vector<SampledQuality> SampleQualities(const VersionQuery& query, Random& random) {
  std::vector<SampledQuality> all;
  for (const StepOption& step : query.steps) {
    if (query.overload == OverloadLevel::kNormal) {
      all.push_back({Sample(step.quality, random), Sample(step.quality_escalated, random)});
    } else {
      all.push_back({step.quality.mean.value(), step.quality_escalated.mean.value()});
    }
  }
  return all;
}

/// Expected cost and quality of starting at one step and escalating to the best later step.
struct Plan {
  std::size_t start = 0;
  double cost = 0;
  double quality = 0;
};

/// Search over the plans of one request.
class Planner {
 public:
  Planner(const VersionQuery& query, std::vector<SampledQuality> qualities, double target)
      : query_(query), qualities_(std::move(qualities)), target_(target) {}

  /// Best plan that starts at step `from` or later and ends within `remaining`; empty when none
  /// does.
  std::optional<Plan> Best(std::size_t from, Duration remaining, std::uint32_t steps_left,
                           bool escalated) const {
    std::optional<Plan> best;
    if (steps_left == 0) return best;
    for (std::size_t i = from; i < query_.steps.size(); ++i) {
      const StepOption& step = query_.steps[i];
      if (step.expected_latency > remaining) continue;
      Plan plan{i, static_cast<double>(step.expected_cost.value()),
                escalated ? qualities_[i].quality_escalated : qualities_[i].quality};
      if (const auto next = Best(i + 1, remaining - step.expected_latency, steps_left - 1, true)) {
        const double acceptance = step.acceptance.value();
        plan.cost += (1 - acceptance) * next->cost;
        plan.quality = acceptance * plan.quality + (1 - acceptance) * next->quality;
      }
      if (!best || IsBetter(plan, *best)) best = plan;
    }
    return best;
  }

 private:
  bool IsBetter(const Plan& candidate, const Plan& best) const {
    const bool candidate_meets = candidate.quality >= target_;
    const bool best_meets = best.quality >= target_;
    if (candidate_meets != best_meets) return candidate_meets;
    return candidate_meets ? candidate.cost < best.cost : candidate.quality > best.quality;
  }

  const VersionQuery& query_;
  std::vector<SampledQuality> qualities_;
  double target_;
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
  if (query.rejected && severe) return std::nullopt;
  if (query.steps_taken >= query.max_steps) return std::nullopt;
  const double target = query.quality_target.value() * (severe ? kDegradedShare : 1.0);
  const Planner planner(query, SampleQualities(query, random), target);
  const std::uint32_t steps_left = severe ? 1 : (query.max_steps - query.steps_taken).value();
  const std::size_t from = query.rejected ? *query.rejected + 1 : 0;
  const auto best = planner.Best(from, query.remaining, steps_left, query.rejected.has_value());
  if (best) return best->start;
  // A new request without time for any step gets the fastest one, since its caller may still wait.
  return query.rejected ? std::nullopt : FastestStep(query);
}

}  // namespace bamboodock
