#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Set of the other entries, among which shared rate limits are divided.
///
/// An entry counts when it has a row in the store or has sent a report recently. Counting one too
/// many only makes the shares smaller.
class PeerView {
 public:
  explicit PeerView(HostId self) : self_(std::move(self)) {}

  /// Adds an entry with a row in the store; returns whether the host is new.
  bool AddRow(const HostId& host) { return host != self_ && rows_.insert(host).second; }

  /// What a report shows about the process on its host.
  struct Observation {
    /// Whether this is the first report of the incarnation, or the first after a timeout.
    bool is_new = false;
    /// Previous incarnation on the host; empty when there is none.
    IncarnationId replaced;
  };

  /// Records a report that arrived at `now`.
  Observation Observe(const HostId& host, const IncarnationId& incarnation, MonotonicTime now) {
    LastReport& last = last_reports_[host];
    Observation observation{last.incarnation != incarnation, {}};
    if (observation.is_new) observation.replaced = last.incarnation;
    last = {incarnation, now};
    return observation;
  }

  /// Removes the incarnations without a report for longer than `limit` and returns them.
  std::vector<std::pair<HostId, IncarnationId>> RemoveSilent(MonotonicTime now, Duration limit) {
    std::vector<std::pair<HostId, IncarnationId>> silent;
    for (const auto& [host, last] : last_reports_) {
      if (now - last.at > limit) silent.emplace_back(host, last.incarnation);
    }
    for (const auto& [host, incarnation] : silent) last_reports_.erase(host);
    return silent;
  }

  /// Hosts of all other entries.
  std::vector<HostId> OtherHosts() const {
    std::set<HostId> hosts = rows_;
    for (const auto& [host, last] : last_reports_) hosts.insert(host);
    return {hosts.begin(), hosts.end()};
  }

  /// Number of entries, including this one.
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
