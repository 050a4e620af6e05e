#pragma once

#include "bamboodock/policy/endpoint_chooser.h"

namespace bamboodock {

/// Rendezvous hashing with bounded load: picks the endpoint of highest weight for the affinity key
/// among those whose load relative to their limit is below `bound` times the mean.
class RendezvousChooser final : public EndpointChooser {
 public:
  static constexpr double kDefaultBound = 1.25;

  explicit RendezvousChooser(double bound = kDefaultBound) : bound_(bound) {}

  std::optional<std::size_t> Choose(std::span<const EndpointView> endpoints,
                                    const EndpointQuery& query, Random& random) override;

 private:
  double bound_;
};

}  // namespace bamboodock
