#include "bamboodock/policy/endpoint_candidates.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace bamboodock::internal {
namespace {

/// Weight of an attempt sent since the last report. It also stands for the attempts of the other
/// entries, and those sent last still wait for their prefill. In trials with weights from 1 to 12
/// the 95th percentile to the first token of two choices fell from 1.36 s to 1.18 s; beyond 6 the
/// prefix caches are used less.
constexpr double kSentWeight = 6;

bool HasRoom(const EndpointView& endpoint) { return endpoint.in_flight < endpoint.limit; }

}  // namespace

std::vector<std::size_t> Candidates(std::span<const EndpointView> endpoints, Random& random) {
  // One draw for the whole choice, so that a returning zone is either open to a request or not.
  const double draw = random.Uniform();
  std::vector<std::size_t> within_share;
  std::vector<std::size_t> with_room;
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    if (!HasRoom(endpoints[i])) continue;
    with_room.push_back(i);
    if (draw < endpoints[i].zone_share.value()) within_share.push_back(i);
  }
  return within_share.empty() ? with_room : within_share;
}

double EstimatedLoad(const EndpointView& endpoint) {
  const double reported =
      endpoint.reported_load.value() + kSentWeight * endpoint.sent_since_report.value();
  return std::max<double>(endpoint.in_flight.value(), reported);
}

bool IsLikelyFull(const EndpointView& endpoint) {
  return endpoint.reported_load + endpoint.sent_since_report >= endpoint.limit;
}

double RelativeLoad(const EndpointView& endpoint) {
  return (EstimatedLoad(endpoint) + 1) / std::max(1U, endpoint.limit.value());
}

std::size_t LessLoaded(std::span<const EndpointView> endpoints, const EndpointQuery& query,
                       std::size_t a, std::size_t b) {
  const double load_a = RelativeLoad(endpoints[a]);
  const double load_b = RelativeLoad(endpoints[b]);
  if (load_a < load_b) return a;
  if (load_b < load_a) return b;
  return endpoints[b].availability_zone == query.local_zone ? b : a;
}

std::uint64_t RendezvousWeight(const EndpointView& endpoint, std::uint64_t key) {
  const std::string& id = endpoint.id.value();
  return XXH3_64bits_withSeed(id.data(), id.size(), key);
}

}  // namespace bamboodock::internal
