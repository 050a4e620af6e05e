#include "bamboodock/policy/affinity_two_choices_chooser.h"

#include <algorithm>
#include <utility>

#include "bamboodock/policy/endpoint_candidates.h"
#include "bamboodock/policy/two_choices_chooser.h"

namespace bamboodock {
namespace {

/// Multiple of the mean load above which the queueing delay outweighs a cached prefix.
constexpr double kMaxLoadFactor = 1.5;

/// The endpoint of highest weight is kept unless the second one is less loaded by this factor, so
/// that requests with one prefix go to one endpoint under light load.
constexpr double kFirstChoiceFactor = 1.25;

double MeanLoad(std::span<const EndpointView> endpoints,
                const std::vector<std::size_t>& candidates) {
  double load = 0;
  double capacity = 0;
  for (const std::size_t i : candidates) {
    load += internal::EstimatedLoad(endpoints[i]) + 1;
    capacity += endpoints[i].limit.value();
  }
  return load / capacity;
}

}  // namespace

std::optional<std::size_t> AffinityTwoChoicesChooser::Choose(
    std::span<const EndpointView> endpoints, const EndpointQuery& query, Random& random) {
  const auto candidates = internal::Candidates(endpoints, random);
  if (candidates.empty()) return std::nullopt;
  if (candidates.size() == 1) return candidates.front();
  if (query.affinity_key == 0) return TwoChoicesChooser().Choose(endpoints, query, random);
  std::pair<std::uint64_t, std::size_t> first{0, candidates.front()};
  std::pair<std::uint64_t, std::size_t> second = first;
  for (const std::size_t i : candidates) {
    std::pair candidate{internal::RendezvousWeight(endpoints[i], query.affinity_key), i};
    if (candidate > first) std::swap(candidate, first);
    if (candidate > second) second = candidate;
  }
  const double first_load = internal::RelativeLoad(endpoints[first.second]);
  const double second_load = internal::RelativeLoad(endpoints[second.second]);
  const bool keep_first = first_load <= second_load * kFirstChoiceFactor;
  const std::size_t chosen = keep_first ? first.second : second.second;
  const double load = keep_first ? first_load : second_load;
  const bool overloaded = load > kMaxLoadFactor * MeanLoad(endpoints, candidates);
  if (!overloaded && !internal::IsLikelyFull(endpoints[chosen])) return chosen;
  return TwoChoicesChooser().Choose(endpoints, query, random);
}

}  // namespace bamboodock
