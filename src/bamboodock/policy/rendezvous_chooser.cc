#include "bamboodock/policy/rendezvous_chooser.h"

#include "bamboodock/policy/endpoint_candidates.h"

namespace bamboodock {

std::optional<std::size_t> RendezvousChooser::Choose(std::span<const EndpointView> endpoints,
                                                     const EndpointQuery& query, Random& random) {
  const auto candidates = internal::Candidates(endpoints, random);
  if (candidates.empty()) return std::nullopt;
  const std::uint64_t key = query.affinity_key == 0 ? random() : query.affinity_key;
  double load = 0;
  double capacity = 0;
  for (const std::size_t i : candidates) {
    load += internal::EstimatedLoad(endpoints[i]);
    capacity += endpoints[i].limit.value();
  }
  const double mean = (load + 1) / capacity;
  std::optional<std::size_t> best;
  std::size_t least_loaded = candidates.front();
  std::uint64_t best_weight = 0;
  for (const std::size_t i : candidates) {
    least_loaded = internal::LessLoaded(endpoints, query, least_loaded, i);
    // One attempt is always allowed, because under light load the bound is below 1.
    const double load_bound = std::max(1.0, bound_ * mean * endpoints[i].limit.value());
    if (internal::EstimatedLoad(endpoints[i]) >= load_bound) continue;
    if (internal::IsLikelyFull(endpoints[i])) continue;
    const std::uint64_t weight = internal::RendezvousWeight(endpoints[i], key);
    if (!best || weight > best_weight) {
      best = i;
      best_weight = weight;
    }
  }
  return best ? best : least_loaded;
}

}  // namespace bamboodock
