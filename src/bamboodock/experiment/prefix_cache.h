#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>

#include "bamboodock/core/units.h"

namespace bamboodock::experiment {

/// Cache of prompt prefixes with limited memory; the least recently used one is dropped first.
class PrefixCache {
 public:
  explicit PrefixCache(Tokens capacity) : capacity_(capacity) {}

  /// Tokens that need no prefill; the prefix is held afterwards.
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
