#include "bamboodock/policy/random_chooser.h"

#include "bamboodock/policy/endpoint_candidates.h"

namespace bamboodock {

std::optional<std::size_t> RandomChooser::Choose(std::span<const EndpointView> endpoints,
                                                 const EndpointQuery& /*query*/, Random& random) {
  const auto candidates = internal::Candidates(endpoints, random);
  if (candidates.empty()) return std::nullopt;
  return candidates[random.Below(candidates.size())];
}

}  // namespace bamboodock
