#pragma once

#include "bamboodock/policy/endpoint_chooser.h"

namespace bamboodock {

/// Picks the endpoints below their limit in turn.
class RoundRobinChooser final : public EndpointChooser {
 public:
  std::optional<std::size_t> Choose(std::span<const EndpointView> endpoints,
                                    const EndpointQuery& query, Random& random) override;

 private:
  std::size_t next_ = 0;
};

}  // namespace bamboodock
