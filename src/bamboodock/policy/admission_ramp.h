#pragma once

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Concurrency limit of one endpoint, raised from its cold to its warm limit by evidence.
///
/// Each answer whose first token came in time raises the limit by one, provided that the limit was
/// at least half used; that doubles it in each round of answers. A failure, a first token later
/// than `kSlowFactor` times the target or `TurnedCold()` sets it back to the cold limit.
class AdmissionRamp {
 public:
  /// A first token this many times later than the target is clearly slow; up to it the limit
  /// merely stops growing, because queueing at the warm limit delays tokens as well.
  static constexpr int kSlowFactor = 4;

  AdmissionRamp(Concurrency cold, Concurrency warm, Duration first_token_target);

  /// Takes a place; false when the limit is reached.
  bool TryAdmit();
  /// Gives a place back with the outcome of the attempt.
  void Finished(Duration first_token, bool ok);
  /// Gives a place back without evidence.
  void Cancelled();
  /// Sets the limit back; to be called for each load report that says cold.
  void TurnedCold();

  Concurrency limit() const { return limit_; }
  Concurrency in_flight() const { return in_flight_; }

 private:
  void LeavePlace();
  void FallBack();
  bool IsLimitUsed() const;

  Concurrency cold_;
  Concurrency warm_;
  Duration first_token_target_;
  Concurrency limit_;
  Concurrency in_flight_{0};
  /// Answers to ignore as evidence, because as many were in flight when the limit fell.
  Concurrency outdated_{0};
};

}  // namespace bamboodock
