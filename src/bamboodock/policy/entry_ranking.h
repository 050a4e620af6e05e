#pragma once

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "bamboodock/core/ids.h"

namespace bamboodock {

/// Orders the entries for each key, such as the id of an endpoint, by rendezvous hashing (Thaler
/// and Ravishankar, 1998).
///
/// Entries that know the same set of entries derive the same order without messages. An entry that
/// joins or leaves changes the rank of every other entry by at most one.
class EntryRanking {
 public:
  /// A ranking of this entry alone until `SetPeers` is called.
  explicit EntryRanking(HostId self) : self_(std::move(self)) {}

  void SetPeers(std::vector<HostId> peers) {
    peers_ = std::move(peers);
    known_ = true;
    ++generation_;
  }

  /// Whether `SetPeers` has been called.
  bool known() const { return known_; }
  /// Changes with each call of `SetPeers`.
  std::uint64_t generation() const { return generation_; }
  /// Number of entries, this one included.
  std::uint32_t size() const { return static_cast<std::uint32_t>(peers_.size()) + 1; }

  /// Rank of this entry in the order for `key`, from 0.
  std::uint32_t Rank(std::string_view key) const {
    const std::uint64_t key_hash = XXH3_64bits(key.data(), key.size());
    const std::uint64_t own_weight = Weight(self_, key_hash);
    const auto ahead = std::count_if(peers_.begin(), peers_.end(), [&](const HostId& peer) {
      return Weight(peer, key_hash) > own_weight;
    });
    return static_cast<std::uint32_t>(ahead);
  }

 private:
  static std::uint64_t Weight(const HostId& host, std::uint64_t key_hash) {
    return XXH3_64bits_withSeed(host.value().data(), host.value().size(), key_hash);
  }

  HostId self_;
  std::vector<HostId> peers_;
  bool known_ = false;
  std::uint64_t generation_ = 0;
};

}  // namespace bamboodock
