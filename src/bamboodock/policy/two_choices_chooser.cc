#include "bamboodock/policy/two_choices_chooser.h"

#include "bamboodock/policy/endpoint_candidates.h"

namespace bamboodock {

std::optional<std::size_t> TwoChoicesChooser::Choose(std::span<const EndpointView> endpoints,
                                                     const EndpointQuery& query, Random& random) {
  const auto candidates = internal::Candidates(endpoints, random);
  if (candidates.empty()) return std::nullopt;
  if (candidates.size() == 1) return candidates.front();
  const std::size_t first = random.Below(candidates.size());
  const std::size_t step = 1 + random.Below(candidates.size() - 1);
  const std::size_t second = (first + step) % candidates.size();
  return internal::LessLoaded(endpoints, query, candidates[first], candidates[second]);
}

}  // namespace bamboodock
