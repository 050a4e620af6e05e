#pragma once

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "bamboodock/core/ids.h"

namespace bamboodock {

/// Orders the entries for each endpoint by rendezvous hashing (Thaler and Ravishankar, 1998).
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
  }

  /// Whether `SetPeers` has been called.
  bool known() const { return known_; }
  /// Number of entries, this one included.
  std::uint32_t size() const { return static_cast<std::uint32_t>(peers_.size()) + 1; }

  /// Rank of this entry in the order for `endpoint`, from 0.
  std::uint32_t Rank(const EndpointId& endpoint) const {
    const std::uint64_t own_weight = Weight(self_, endpoint);
    const auto ahead = std::count_if(peers_.begin(), peers_.end(), [&](const HostId& peer) {
      return Weight(peer, endpoint) > own_weight;
    });
    return static_cast<std::uint32_t>(ahead);
  }

 private:
  static std::uint64_t Weight(const HostId& host, const EndpointId& endpoint) {
    const std::uint64_t key = XXH3_64bits(endpoint.value().data(), endpoint.value().size());
    return XXH3_64bits_withSeed(host.value().data(), host.value().size(), key);
  }

  HostId self_;
  std::vector<HostId> peers_;
  bool known_ = false;
};

}  // namespace bamboodock
