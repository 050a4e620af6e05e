#pragma once

#include <cstddef>
#include <map>
#include <utility>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"
#include "bamboodock/routing/endpoint_record.h"

namespace bamboodock {

/// What endpoints state about themselves in their answers.
///
/// A statement belongs to one lifetime of an endpoint, given by its id and start time. It outlives
/// the registration, which may expire and return during an outage of the store.
///
/// Load pattern: endpoints that drain while this entry cannot read their registrations, and
/// endpoints that are full and ask their callers to stay away for some time.
class EndpointStatements {
 public:
  /// Statements are kept for at most this many lifetimes; the oldest are dropped first.
  static constexpr std::size_t kMaxLifetimes = 4096;

  /// Records that the endpoint drains, which holds until its lifetime ends.
  /// @return Whether this was not known before.
  bool AddDraining(const EndpointId& id, StartTime started, MonotonicTime now) {
    Statement& statement = FindOrAdd(id, started, now);
    return !std::exchange(statement.draining, true);
  }

  bool IsDraining(const EndpointId& id, StartTime started) const {
    const auto found = statements_.find({id, started});
    return found != statements_.end() && found->second.draining;
  }

  /// Records that the endpoint wants no requests until `until`. A later statement replaces it.
  void SetUnavailableUntil(const EndpointId& id, StartTime started, MonotonicTime until,
                           MonotonicTime now) {
    FindOrAdd(id, started, now).unavailable_until = until;
  }

  /// Time until which the endpoint wants no requests; in the past when it takes them.
  MonotonicTime UnavailableUntil(const EndpointId& id, StartTime started) const {
    if (statements_.empty()) return {};
    const auto found = statements_.find({id, started});
    return found == statements_.end() ? MonotonicTime() : found->second.unavailable_until;
  }

 private:
  using Lifetime = std::pair<EndpointId, StartTime>;
  struct Statement {
    MonotonicTime first_at{};
    bool draining = false;
    MonotonicTime unavailable_until{};
  };

  Statement& FindOrAdd(const EndpointId& id, StartTime started, MonotonicTime now) {
    const auto [found, added] = statements_.try_emplace({id, started});
    if (!added) return found->second;
    found->second.first_at = now;
    by_age_.emplace(now, found->first);
    if (statements_.size() > kMaxLifetimes) {
      statements_.erase(by_age_.begin()->second);
      by_age_.erase(by_age_.begin());
    }
    return statements_.at({id, started});
  }

  std::map<Lifetime, Statement> statements_;
  std::multimap<MonotonicTime, Lifetime> by_age_;
};

}  // namespace bamboodock
