#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "bamboodock/policy/endpoint_view.h"
#include "bamboodock/policy/random.h"

namespace bamboodock::internal {

/// Indexes of the endpoints below their limit, within the traffic share of their availability zone.
///
/// The share is not applied when no other endpoint is below its limit: the admission ramp still
/// protects the endpoint, so a refusal would have no benefit.
std::vector<std::size_t> Candidates(std::span<const EndpointView> endpoints, Random& random);

/// Estimated number of attempts at an endpoint, from its last report and the entry's own attempts.
double EstimatedLoad(const EndpointView& endpoint);

/// Whether the reported load plus the attempts sent since the report reaches the limit.
bool IsLikelyFull(const EndpointView& endpoint);

/// Fraction of the limit that would be in use with one more attempt.
double RelativeLoad(const EndpointView& endpoint);

/// The one of two candidates with the lower relative load; on a tie, one in the local zone.
std::size_t LessLoaded(std::span<const EndpointView> endpoints, const EndpointQuery& query,
                       std::size_t a, std::size_t b);

/// Weight of an endpoint for a key in rendezvous hashing.
std::uint64_t RendezvousWeight(const EndpointView& endpoint, std::uint64_t key);

}  // namespace bamboodock::internal
