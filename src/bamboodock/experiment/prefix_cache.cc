#include "bamboodock/experiment/prefix_cache.h"

namespace bamboodock::experiment {

Tokens PrefixCache::Access(std::uint64_t key, Tokens tokens) {
  if (const auto found = by_key_.find(key); found != by_key_.end()) {
    entries_.splice(entries_.begin(), entries_, found->second);
    return found->second->tokens;
  }
  if (tokens > capacity_) return Tokens(0);
  entries_.push_front({key, tokens});
  by_key_[key] = entries_.begin();
  cached_ += tokens;
  while (cached_ > capacity_) {
    cached_ -= entries_.back().tokens;
    by_key_.erase(entries_.back().key);
    entries_.pop_back();
  }
  return Tokens(0);
}

void PrefixCache::Clear() {
  entries_.clear();
  by_key_.clear();
  cached_ = Tokens(0);
}

}  // namespace bamboodock::experiment
