#pragma once

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Concurrency limit of one endpoint, raised from its cold to its warm limit as answers succeed.
///
/// Each answer whose first token arrived within the target raises the limit by one, provided that
/// at least half of the limit was in use; this doubles the limit in each round of answers. A
/// failure, a first token later than `kSlowFactor` times the target or `OnTurnedCold()` resets it
/// to the cold limit.
class AdmissionRamp {
 public:
  /// A first token later than this multiple of the target resets the limit. Between the target and
  /// this multiple the limit only stops growing, because queueing at the warm limit delays tokens
  /// as well.
  static constexpr int kSlowFactor = 4;

  AdmissionRamp(Concurrency cold, Concurrency warm, Duration first_token_target);

  /// Takes a concurrency slot; false when the limit is reached.
  bool TryAdmit();
  /// Returns the slot of an attempt and adjusts the limit by its outcome.
  void OnFinished(Duration first_token, bool ok);
  /// Returns the slot of an attempt without adjusting the limit.
  void OnCancelled();
  /// Resets the limit; to be called for each load report that says cold.
  void OnTurnedCold();

  Concurrency limit() const { return limit_; }
  Concurrency in_flight() const { return in_flight_; }

 private:
  void ReleaseSlot();
  void ResetToCold();
  bool IsLimitHalfUsed() const;

  Concurrency cold_;
  Concurrency warm_;
  Duration first_token_target_;
  Concurrency limit_;
  Concurrency in_flight_{0};
  /// Number of answers that must not raise the limit, because as many attempts were in flight when
  /// the limit was reset.
  Concurrency stale_in_flight_{0};
};

}  // namespace bamboodock
