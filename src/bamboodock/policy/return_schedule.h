#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <utility>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Callers of one service who were refused and told when to come back.
///
/// Load pattern: refused callers return, some at the time that they were told, some without a
/// pause.
///
/// A caller that returns at its time is queued as if it had waited since its first refusal. One
/// that returns too early gains nothing and keeps its time, so that retries without a pause do not
/// delay the others.
class ReturnSchedule {
 public:
  /// Session of an account, or the id of a request without a session.
  using Caller = std::pair<ClientAccountId, SessionId>;

  static constexpr std::size_t kMaxCallers = 512;
  /// A caller may return this much too early.
  static constexpr std::chrono::milliseconds kTolerance{20};
  /// A caller that returns later than this is as good as new.
  static constexpr std::chrono::seconds kLifetime{2};

  /// Records that the caller is told to return after this time. Returns the time to tell it: the
  /// rest of its earlier one, if that has not come yet.
  Duration Tell(const Caller& caller, Duration retry_after, MonotonicTime now) {
    Prune(now);
    const auto known = times_.find(caller);
    if (known != times_.end()) {
      if (known->second.at > now) return known->second.at - now;
      known->second.at = now + retry_after;
    } else if (times_.size() < kMaxCallers) {
      times_.emplace(caller, Times{now, now + retry_after});
    }
    return retry_after;
  }

  /// When a caller that returns at its time was first refused; empty for others. The caller is
  /// then no longer expected.
  std::optional<MonotonicTime> Redeem(const Caller& caller, MonotonicTime now) {
    const auto known = times_.find(caller);
    if (known == times_.end()) return std::nullopt;
    const Times times = known->second;
    if (now < times.at - kTolerance) return std::nullopt;
    times_.erase(known);
    if (now > times.at + kLifetime) return std::nullopt;
    return times.refused;
  }

  /// Number of callers whose time has not come yet.
  std::size_t Expected(MonotonicTime now) const {
    return static_cast<std::size_t>(std::count_if(
        times_.begin(), times_.end(), [now](const auto& entry) { return entry.second.at > now; }));
  }

 private:
  struct Times {
    /// When the caller was first refused.
    MonotonicTime refused;
    /// When it was told to return.
    MonotonicTime at;
  };

  void Prune(MonotonicTime now) {
    if (times_.size() < kMaxCallers) return;
    std::erase_if(times_, [now](const auto& entry) { return now > entry.second.at + kLifetime; });
  }

  std::map<Caller, Times> times_;
};

}  // namespace bamboodock
