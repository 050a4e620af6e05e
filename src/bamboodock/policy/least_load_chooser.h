#pragma once

#include "bamboodock/policy/endpoint_chooser.h"

namespace bamboodock {

/// Picks the endpoint with the lowest reported load relative to its limit.
class LeastLoadChooser final : public EndpointChooser {
 public:
  std::optional<std::size_t> Choose(std::span<const EndpointView> endpoints,
                                    const EndpointQuery& query, Random& random) override;
};

}  // namespace bamboodock
