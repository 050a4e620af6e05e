#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bamboodock/core/units.h"
#include "bamboodock/routing/directory_codec.h"

namespace bamboodock {

/// What an older copy of the store says about rows whose known state is newer, held back for some
/// time, since the newer state may be written again.
///
/// The time counts only while the store answers, since nobody can write to it otherwise. Two
/// outages at most start it anew, so that a store that is away again and again ends no hold too
/// late.
class HeldRows {
 public:
  /// Holds the row back, or its removal if it is deleted, which stands for a row that the copy
  /// lacks. Replaces what is held for the key, but not the time of a row of the same era, since its
  /// writer may write it again and again.
  void Hold(StoreRow row, Duration time, MonotonicTime now);
  /// Ends the hold without effect.
  void Release(const std::string& key) { held_.erase(key); }

  /// Records that the store did not answer.
  void OnOutage() { in_outage_ = true; }
  /// Records an answer of the store; the first one after an outage starts the time of all holds
  /// anew.
  void OnAnswer(MonotonicTime now);

  /// Removes and returns the rows whose time is over; none in an outage.
  std::vector<StoreRow> TakeDue(MonotonicTime now);
  /// When the next row is due; empty when none is held or in an outage.
  std::optional<MonotonicTime> NextDue() const;

  /// Whether a row of the copy is held back.
  bool HoldsRow(const std::string& key) const;
  /// Era whose copy lacks the row; empty when the row is not held for that.
  std::optional<StoreEra> MissingSince(const std::string& key) const;
  std::size_t size() const { return held_.size(); }

 private:
  struct HeldRow {
    StoreRow row;
    Duration time;
    MonotonicTime until;
    std::uint32_t extensions = 0;
  };

  std::map<std::string, HeldRow, std::less<>> held_;
  bool in_outage_ = false;
};

}  // namespace bamboodock
