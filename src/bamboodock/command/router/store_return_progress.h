#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// What listing all tables again after a return of the store has shown.
struct StoreReading {
  /// Time since the return was noticed.
  Duration elapsed{};
  /// Rows that are kept although the copy lacks them.
  std::size_t kept = 0;
  /// Rows of the copy that known ones supersede.
  std::size_t outdated = 0;
};

/// Follows the listings after the store has returned from an older copy, until each table has been
/// listed once. A further return before that begins again.
class StoreReturnProgress {
 public:
  /// @param tables Number of tables that are listed.
  explicit StoreReturnProgress(std::size_t tables) : tables_(tables) {}

  void OnReturn(MonotonicTime now) {
    noticed_at_ = now;
    listed_.clear();
    reading_ = StoreReading();
  }

  /// Adds the listing of a table in the present era; counts the first one after a return only.
  ///
  /// @return The sum over all tables with the last of them; empty otherwise.
  std::optional<StoreReading> OnListed(const std::string& table, std::size_t kept,
                                       std::size_t outdated, MonotonicTime now) {
    if (!noticed_at_ || !listed_.insert(table).second) return std::nullopt;
    reading_.kept += kept;
    reading_.outdated += outdated;
    if (listed_.size() < tables_) return std::nullopt;
    reading_.elapsed = now - *noticed_at_;
    noticed_at_.reset();
    return reading_;
  }

 private:
  std::size_t tables_;
  /// Empty while no return is being read.
  std::optional<MonotonicTime> noticed_at_;
  std::set<std::string> listed_;
  StoreReading reading_;
};

}  // namespace bamboodock
