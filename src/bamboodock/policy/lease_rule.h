#pragma once

#include <optional>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Whether an order may be sent to the engine.
enum class LeaseVerdict : std::uint8_t {
  kAllowed,
  kNoLease,
  /// The lease ran out; renew it first.
  kExpired,
  /// Another holder has a higher fencing number.
  kSuperseded,
  /// The order was decided under an epoch that is no longer in force.
  kStaleEpoch,
};

/// Row `leases/<endpoint>` as read.
struct LeaseRow {
  IncarnationId holder;
  FencingNumber fencing;
};

/// Lease of one endpoint as seen by one process.
///
/// Clocks of hosts differ, so a lease is never judged by a stored time: the holder counts from the
/// send time of its own write, and a successor from its own observation of an unchanged row.
class LeaseRule {
 public:
  /// @param duration Time that a lease lasts after it was written.
  /// @param margin Time by which the holder stops earlier and a successor waits longer.
  LeaseRule(IncarnationId self, Duration duration, Duration margin);

  /// The own write of `fencing` was confirmed; `sent` is the time at which it was sent.
  void OnAcquired(FencingNumber fencing, MonotonicTime sent);
  /// The row was read at `now`; a renewal writes the same holder and number again, which `changed`
  /// tells by the row's version.
  void OnRow(const LeaseRow& row, bool changed, MonotonicTime now);
  /// An engine or peer reported this number.
  void OnFencingSeen(FencingNumber fencing);

  /// Whether the row may be taken over with `NextFencing()`.
  bool MayTakeOver(MonotonicTime now) const;
  FencingNumber NextFencing() const { return highest_.Next(); }

  /// Check at the last moment before an order is sent.
  ///
  /// @param decided Epoch under which the order was decided.
  /// @param known Highest epoch known now.
  LeaseVerdict Judge(MonotonicTime now, Epoch decided, Epoch known) const;
  std::optional<FencingNumber> fencing() const { return own_; }

 private:
  IncarnationId self_;
  Duration duration_;
  Duration margin_;
  std::optional<FencingNumber> own_;
  MonotonicTime valid_until_;
  std::optional<LeaseRow> other_;
  MonotonicTime other_changed_;
  FencingNumber highest_;
};

}  // namespace bamboodock
