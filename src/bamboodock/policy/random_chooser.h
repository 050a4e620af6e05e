#pragma once

#include "bamboodock/policy/endpoint_chooser.h"

namespace bamboodock {

/// Picks uniformly among the endpoints below their limit.
class RandomChooser final : public EndpointChooser {
 public:
  std::optional<std::size_t> Choose(std::span<const EndpointView> endpoints,
                                    const EndpointQuery& query, Random& random) override;
};

}  // namespace bamboodock
