#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "bamboodock/policy/endpoint_view.h"
#include "bamboodock/policy/random.h"

namespace bamboodock::internal {

/// Indexes of the endpoints with room, within the traffic share of their availability zone.
///
/// The share is not applied when no other endpoint has room: the admission ramp of the endpoint
/// still protects it, and a refusal would help nobody.
std::vector<std::size_t> Candidates(std::span<const EndpointView> endpoints, Random& random);

/// Estimate of the attempts at an endpoint now, from its report and the entry's own attempts.
double EstimatedLoad(const EndpointView& endpoint);

/// Whether the last report and the attempts sent since reach the limit.
bool IsLikelyFull(const EndpointView& endpoint);

/// Share of the limit that would be used with one more attempt.
double RelativeLoad(const EndpointView& endpoint);

/// Whichever of two candidates has the lower relative load; the local zone decides a tie.
std::size_t LessLoaded(std::span<const EndpointView> endpoints, const EndpointQuery& query,
                       std::size_t a, std::size_t b);

/// Weight of an endpoint for a key in rendezvous hashing.
std::uint64_t RendezvousWeight(const EndpointView& endpoint, std::uint64_t key);

}  // namespace bamboodock::internal
