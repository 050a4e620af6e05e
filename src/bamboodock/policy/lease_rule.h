#pragma once

#include <optional>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Whether an order may be sent to the engine.
enum class LeaseVerdict : std::uint8_t {
  kAllowed,
  kNoLease,
  /// The lease has expired; renew it first.
  kExpired,
  /// Another holder has a higher fencing token.
  kSuperseded,
  /// The order was decided under an epoch that has been replaced.
  kStaleEpoch,
};

/// Row `leases/<endpoint>` as read.
struct LeaseRow {
  IncarnationId holder;
  FencingToken fencing;
};

/// Lease of one endpoint as seen by one process.
///
/// Clocks of hosts differ, so the expiry of a lease is never computed from a stored time. The
/// holder counts from the send time of its own write, and a successor from the time at which it
/// first read the unchanged row.
class LeaseRule {
 public:
  /// @param duration Time for which a lease is valid after it was written.
  /// @param margin Time by which the holder stops before, and a successor waits beyond, `duration`.
  LeaseRule(IncarnationId self, Duration duration, Duration margin);

  /// The write of `fencing` by this process was confirmed; `sent` is the time at which it was sent.
  void OnAcquired(FencingToken fencing, MonotonicTime sent);
  /// The row was read at `now`. A renewal writes the same holder and token again; `changed` tells
  /// from the version of the row whether it was rewritten since the last read.
  void OnRow(const LeaseRow& row, bool changed, MonotonicTime now);
  /// An engine or peer reported this fencing token.
  void OnFencingSeen(FencingToken fencing);

  /// Whether the row may be taken over with `NextFencing()`.
  bool MayTakeOver(MonotonicTime now) const;
  FencingToken NextFencing() const { return highest_.Next(); }

  /// Check immediately before an order is sent.
  ///
  /// @param decided Epoch under which the order was decided.
  /// @param known Highest epoch known at `now`.
  LeaseVerdict Judge(MonotonicTime now, Epoch decided, Epoch known) const;
  std::optional<FencingToken> fencing() const { return own_fencing_; }

 private:
  IncarnationId self_;
  Duration duration_;
  Duration margin_;
  std::optional<FencingToken> own_fencing_;
  MonotonicTime valid_until_;
  std::optional<LeaseRow> other_row_;
  MonotonicTime other_changed_at_;
  FencingToken highest_;
};

}  // namespace bamboodock
