#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "bamboodock/routing/operator_orders.h"

namespace bamboodock {

std::string_view Name(VersionStanding standing);

/// Verdicts about the versions of one service, which outlive the orders that led to them.
///
/// Entries merge their verdicts through the progress row of the service. The result of merging does
/// not depend on the order in which verdicts arrive: the newest order of a version decides, and of
/// two verdicts about one order the one further down in `VersionStanding`. A version for which
/// there is no verdict was never ordered.
class VersionVerdicts {
 public:
  /// Verdicts that are remembered for a service; the oldest ones are dropped.
  static constexpr std::size_t kMaxVerdicts = 8;

  /// Returns whether the verdict was news.
  bool Merge(const VersionVerdict& verdict);
  /// Drops verdicts on versions that have had no endpoint for longer than an endpoint may take to
  /// return.
  ///
  /// @param present Versions with registered endpoints.
  void ForgetAbsent(const std::vector<VersionId>& present, MonotonicTime now);

  /// Empty when there is no verdict on the version.
  std::optional<VersionStanding> StandingOf(const VersionId& version) const;
  bool IsRejected(const VersionId& version) const;
  /// Whether a version is known to have been in full use.
  bool HasAccepted() const;
  /// Whether all of `verdicts` are known here, or outdated.
  bool Includes(const std::vector<VersionVerdict>& verdicts) const;
  /// All verdicts, newest order first.
  std::vector<VersionVerdict> List() const;

 private:
  struct Entry {
    VersionVerdict verdict;
    /// When the version was first seen without endpoints; empty while it has some.
    std::optional<MonotonicTime> absent_since = std::nullopt;
  };

  void DropOldest();

  std::map<VersionId, Entry> entries_;
};

}  // namespace bamboodock
