#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Which other entries there are, for the division of shared bounds.
///
/// An entry counts when it has a row in the store or was heard of lately; counting one too many
/// only makes the shares smaller.
class PeerView {
 public:
  explicit PeerView(HostId self) : self_(std::move(self)) {}

  /// Returns whether the host is new.
  bool AddRow(const HostId& host) { return host != self_ && rows_.insert(host).second; }

  /// What a report says about the host's process.
  struct Observation {
    /// Whether this incarnation is heard for the first time, or again after a silence.
    bool is_new = false;
    /// Incarnation that it replaces; empty when there is none.
    IncarnationId replaced;
  };

  Observation Observe(const HostId& host, const IncarnationId& incarnation, MonotonicTime now) {
    LastReport& last = last_reports_[host];
    Observation observation{last.incarnation != incarnation, {}};
    if (observation.is_new) observation.replaced = last.incarnation;
    last = {incarnation, now};
    return observation;
  }

  /// Incarnations that have been silent for `limit`; each is named once.
  std::vector<std::pair<HostId, IncarnationId>> RemoveSilent(MonotonicTime now, Duration limit) {
    std::vector<std::pair<HostId, IncarnationId>> silent;
    for (const auto& [host, last] : last_reports_) {
      if (now - last.at > limit) silent.emplace_back(host, last.incarnation);
    }
    for (const auto& [host, incarnation] : silent) last_reports_.erase(host);
    return silent;
  }

  /// All other entries.
  std::vector<HostId> OtherHosts() const {
    std::set<HostId> hosts = rows_;
    for (const auto& [host, last] : last_reports_) hosts.insert(host);
    return {hosts.begin(), hosts.end()};
  }

  /// Number of entries, this one included.
  std::uint32_t EntryCount() const {
    std::size_t unknown = 0;
    for (const auto& [host, last] : last_reports_) unknown += rows_.contains(host) ? 0 : 1;
    return static_cast<std::uint32_t>(rows_.size() + unknown + 1);
  }

 private:
  struct LastReport {
    IncarnationId incarnation;
    MonotonicTime at;
  };

  HostId self_;
  std::set<HostId> rows_;
  std::map<HostId, LastReport> last_reports_;
};

}  // namespace bamboodock
