#pragma once

#include <cstddef>
#include <optional>

#include "bamboodock/policy/random.h"
#include "bamboodock/policy/version_query.h"

namespace bamboodock {

/// Strategy that selects the next step of a request in a cascade.
class VersionChooser {
 public:
  virtual ~VersionChooser() = default;
  /// Index into `query.steps`. Empty means that no further step is taken: the last answer is
  /// delivered, and a request without an answer is refused.
  virtual std::optional<std::size_t> Next(const VersionQuery& query, Random& random) const = 0;
};

}  // namespace bamboodock
