#include "bamboodock/policy/round_robin_chooser.h"

#include <algorithm>

#include "bamboodock/policy/endpoint_candidates.h"

namespace bamboodock {

std::optional<std::size_t> RoundRobinChooser::Choose(std::span<const EndpointView> endpoints,
                                                     const EndpointQuery& /*query*/,
                                                     Random& random) {
  const auto candidates = internal::Candidates(endpoints, random);
  if (candidates.empty()) return std::nullopt;
  const auto found = std::lower_bound(candidates.begin(), candidates.end(), next_);
  const std::size_t chosen = found == candidates.end() ? candidates.front() : *found;
  next_ = (chosen + 1) % endpoints.size();
  return chosen;
}

}  // namespace bamboodock
