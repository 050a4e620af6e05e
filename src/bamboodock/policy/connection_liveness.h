#pragma once

#include <chrono>
#include <cstdint>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// What the operating system knows about the acknowledgements of a connection.
struct AckState {
  /// Repeats of the oldest unacknowledged segment.
  std::uint32_t unanswered_repeats = 0;
  /// Probes of a full receive window that were not answered.
  std::uint32_t unanswered_probes = 0;
  /// Time since the last acknowledgement.
  Duration since_ack{};
};

/// Decides from regular checks whether the other end of a connection is lost.
///
/// Load pattern: hosts and links that vanish with bytes in flight, beside sound ends that read late
/// or slowly. The latter go on acknowledging, which tells them apart; a timeout for unread bytes
/// would not. Checks are counted instead of time, so that a pause of this process is not taken for
/// silence of the other end.
class ConnectionLiveness {
 public:
  /// Time between two checks.
  static constexpr std::chrono::milliseconds kCheckInterval{500};

  /// @param timeout How long an end that should acknowledge may be silent.
  explicit ConnectionLiveness(Duration timeout)
      : max_silent_checks_(static_cast<std::uint32_t>(timeout / kCheckInterval)) {}

  /// Takes the state at a check in; returns whether the other end is lost.
  bool Observe(const AckState& state) {
    const bool awaits_ack =
        state.unanswered_repeats > 0 || state.unanswered_probes >= kUnansweredProbes;
    const bool silent = awaits_ack && state.since_ack >= kCheckInterval;
    silent_checks_ = silent ? silent_checks_ + 1 : 0;
    return silent_checks_ >= max_silent_checks_;
  }

 private:
  /// A single probe may be under way, or unanswered since answers to probes are limited in rate.
  static constexpr std::uint32_t kUnansweredProbes = 2;

  std::uint32_t max_silent_checks_;
  std::uint32_t silent_checks_ = 0;
};

}  // namespace bamboodock
