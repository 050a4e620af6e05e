#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bamboodock/core/units.h"

namespace bamboodock::experiment {

/// Rule that decides when to withdraw a version.
enum class GuardRule : std::uint8_t {
  /// Sequential test on merged evidence.
  kSequential,
  /// Error rate in windows of a fixed length against a threshold.
  kFixedThreshold,
};

/// One step of a roll-out: share of the model's requests from a time on.
struct RolloutStep {
  MonotonicTime start;
  Ratio share;
};

/// Settings of one roll-out.
struct RolloutSettings {
  GuardRule rule = GuardRule::kSequential;
  /// Requests per second of the model.
  RequestRate rate{4.0};
  std::size_t sources = 12;
  std::size_t entries = 3;
  std::vector<RolloutStep> steps;
  MonotonicTime end{std::chrono::hours(8)};
  /// Share of answers that are errors before the version degrades.
  Ratio normal_error_rate{0.01};
  /// Share of answers that are errors from `degraded_from` on.
  Ratio degraded_error_rate{0.01};
  MonotonicTime degraded_from = MonotonicTime::max();
  /// Share of bad answers without an error, which only ratings reveal, before the version degrades.
  Ratio normal_bad_answer_rate{0.05};
  /// The same share from `degraded_from` on.
  Ratio degraded_bad_answer_rate{0.05};
  /// Share of answers without an error that are rated.
  Ratio rated_share{0.05};
  Duration mean_rating_delay = std::chrono::minutes(30);
  Duration mean_answer_time = std::chrono::seconds(3);
  Duration sync_interval = std::chrono::seconds(1);
  /// Maximum time until a withdrawal published by one entry reaches the others.
  Duration max_publish_delay = std::chrono::seconds(3);
};

}  // namespace bamboodock::experiment
