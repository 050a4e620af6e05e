#pragma once

#include <cstdint>

#include "bamboodock/experiment/samples.h"

namespace bamboodock::experiment {

/// Outcomes of the requests that arrived in one phase of a run.
struct FleetResult {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  /// First token later than twice the target.
  std::uint64_t late = 0;
  /// Refused, not run; the caller may repeat the request.
  std::uint64_t refused = 0;
  /// Accepted by a sidecar but not answered.
  std::uint64_t lost = 0;
  std::uint64_t attempts = 0;
  /// Seconds from the arrival to the first token.
  Samples first_token;
  /// Seconds from the arrival to the end of the answer, for answered requests.
  Samples total_time;

  void Add(const FleetResult& other) {
    requests += other.requests;
    answered += other.answered;
    late += other.late;
    refused += other.refused;
    lost += other.lost;
    attempts += other.attempts;
    first_token.Add(other.first_token);
    total_time.Add(other.total_time);
  }
};

}  // namespace bamboodock::experiment
