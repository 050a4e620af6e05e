#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>

#include "bamboodock/core/units.h"

namespace bamboodock::experiment {

/// LRU cache of prompt prefixes, bounded by the sum of their tokens.
class PrefixCache {
 public:
  explicit PrefixCache(Tokens capacity) : capacity_(capacity) {}

  /// Returns the cached tokens of the prefix, which need no prefill, and marks it as used. A
  /// missing prefix gives 0 and is added, unless it alone exceeds the capacity.
  Tokens Access(std::uint64_t key, Tokens tokens);
  void Clear();

 private:
  struct Entry {
    std::uint64_t key;
    Tokens tokens;
  };

  Tokens capacity_;
  Tokens cached_;
  std::list<Entry> entries_;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> by_key_;
};

}  // namespace bamboodock::experiment
