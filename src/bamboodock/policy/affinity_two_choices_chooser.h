#pragma once

#include "bamboodock/policy/endpoint_chooser.h"

namespace bamboodock {

/// Picks the less loaded of the two endpoints of highest rendezvous weight for the affinity key, or
/// the less loaded of two random endpoints when that endpoint is full or far above the mean load.
class AffinityTwoChoicesChooser final : public EndpointChooser {
 public:
  std::optional<std::size_t> Choose(std::span<const EndpointView> endpoints,
                                    const EndpointQuery& query, Random& random) override;
};

}  // namespace bamboodock
