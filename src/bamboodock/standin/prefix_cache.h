#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "bamboodock/core/quantity.h"

namespace bamboodock::standin {

/// Hash of a prompt prefix.
using PrefixHash = Quantity<struct PrefixHashTag, std::uint64_t>;

/// Bounded set of prompt prefixes that evicts the least recently used one.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t capacity) : capacity_(capacity) {}

  bool Contains(PrefixHash prefix) const {
    return std::find(prefixes_.begin(), prefixes_.end(), prefix) != prefixes_.end();
  }

  /// Adds a prefix or marks it as most recently used; returns the evicted prefix, if any.
  std::optional<PrefixHash> Use(PrefixHash prefix) {
    std::erase(prefixes_, prefix);
    prefixes_.push_back(prefix);
    if (prefixes_.size() <= capacity_) return {};
    const PrefixHash oldest = prefixes_.front();
    prefixes_.pop_front();
    return oldest;
  }

 private:
  std::size_t capacity_;
  std::deque<PrefixHash> prefixes_;
};

}  // namespace bamboodock::standin
