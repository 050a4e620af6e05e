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
/// Entries that know the same entries derive the same order without messages, and one that joins or
/// leaves moves no other one by more than a place.
class EntryRanking {
 public:
  /// Alone until the other entries are known.
  explicit EntryRanking(HostId self) : self_(std::move(self)) {}

  void SetPeers(std::vector<HostId> others) {
    others_ = std::move(others);
    known_ = true;
  }

  /// Whether the other entries were ever told.
  bool known() const { return known_; }
  /// Number of entries, this one included.
  std::uint32_t size() const { return static_cast<std::uint32_t>(others_.size()) + 1; }

  /// Place of this entry in the order for `endpoint`, from 0.
  std::uint32_t Rank(const EndpointId& endpoint) const {
    const std::uint64_t own = Weight(self_, endpoint);
    const auto ahead = std::count_if(others_.begin(), others_.end(), [&](const HostId& other) {
      return Weight(other, endpoint) > own;
    });
    return static_cast<std::uint32_t>(ahead);
  }

 private:
  static std::uint64_t Weight(const HostId& host, const EndpointId& endpoint) {
    const std::uint64_t key = XXH3_64bits(endpoint.value().data(), endpoint.value().size());
    return XXH3_64bits_withSeed(host.value().data(), host.value().size(), key);
  }

  HostId self_;
  std::vector<HostId> others_;
  bool known_ = false;
};

}  // namespace bamboodock
