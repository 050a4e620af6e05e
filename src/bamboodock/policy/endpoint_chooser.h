#pragma once

#include <cstddef>
#include <optional>
#include <span>

#include "bamboodock/policy/endpoint_view.h"
#include "bamboodock/policy/random.h"

namespace bamboodock {

/// Strategy that selects the endpoint of an attempt.
class EndpointChooser {
 public:
  virtual ~EndpointChooser() = default;
  /// Index into `endpoints`; empty when all of them are at their limit.
  virtual std::optional<std::size_t> Choose(std::span<const EndpointView> endpoints,
                                            const EndpointQuery& query, Random& random) = 0;
};

}  // namespace bamboodock
