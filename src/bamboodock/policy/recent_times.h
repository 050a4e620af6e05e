#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <utility>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Latest time of something for each key, for a bounded number of keys.
///
/// Keys are held in two generations: when the younger one is full it replaces the older one. So at
/// least half of `capacity` keys are known, those that were set last.
template <class Key>
class RecentTimes {
 public:
  explicit RecentTimes(std::size_t capacity) : capacity_(capacity) {}

  /// Sets the time of the key, unless a later one is known.
  void Set(const Key& key, MonotonicTime at) {
    const std::optional<MonotonicTime> known = Find(key);
    young_.insert_or_assign(key, known ? std::max(*known, at) : at);
    if (young_.size() * 2 < capacity_) return;
    old_ = std::move(young_);
    young_.clear();
  }

  std::optional<MonotonicTime> Find(const Key& key) const {
    for (const auto* generation : {&young_, &old_}) {
      const auto found = generation->find(key);
      if (found != generation->end()) return found->second;
    }
    return std::nullopt;
  }

 private:
  std::size_t capacity_;
  std::unordered_map<Key, MonotonicTime> young_;
  std::unordered_map<Key, MonotonicTime> old_;
};

}  // namespace bamboodock
