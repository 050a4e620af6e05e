#include "bamboodock/policy/least_load_chooser.h"

#include <algorithm>

#include "bamboodock/policy/endpoint_candidates.h"

namespace bamboodock {

std::optional<std::size_t> LeastLoadChooser::Choose(std::span<const EndpointView> endpoints,
                                                    const EndpointQuery& /*query*/,
                                                    Random& random) {
  const auto candidates = internal::Candidates(endpoints, random);
  if (candidates.empty()) return std::nullopt;
  const auto reported_load = [&](std::size_t i) {
    return static_cast<double>(endpoints[i].reported_load.value()) / endpoints[i].limit.value();
  };
  // The search starts at a random index, so that ties are not always resolved in favour of one
  // endpoint.
  const std::size_t start = random.Below(candidates.size());
  std::size_t best = candidates[start];
  for (std::size_t k = 1; k < candidates.size(); ++k) {
    const std::size_t i = candidates[(start + k) % candidates.size()];
    if (reported_load(i) < reported_load(best)) best = i;
  }
  return best;
}

}  // namespace bamboodock
