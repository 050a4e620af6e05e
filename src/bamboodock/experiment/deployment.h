#pragma once

#include <string>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"
#include "bamboodock/policy/request_kind.h"

namespace bamboodock::experiment {

/// Log-normal distribution of a number of tokens.
struct TokenDistribution {
  double median = 0;
  double sigma = 0;
};

/// Traffic of one kind of request.
struct KindTraffic {
  RequestKind kind;
  Ratio share;
  TokenDistribution prompt;
  TokenDistribution completion;
  /// Share of the prompt's tokens in the prefix that requests about the same subject share.
  Ratio prefix_share;
  /// Number of distinct shared prefixes in use at the same time.
  std::size_t prefixes = 1;
  /// Parameters of the beta distribution of the difficulty, which lies between 0 and 1.
  double difficulty_alpha = 1;
  double difficulty_beta = 1;
  Duration deadline{};
};

/// Price, skill and speed of a version of a language model in the experiments.
struct VersionParameters {
  VersionId id;
  CostMicros cost_per_1k_prompt;
  CostMicros cost_per_1k_completion;
  /// Difficulty at which half of the answers are good.
  double skill = 0;
  Duration per_prompt_token{};
  Duration per_completion_token{};
};

/// One of the two deployments on the design page.
struct Deployment {
  std::string name;
  std::vector<AvailabilityZoneId> zones;
  /// One-way network delay between two availability zones.
  Duration inter_zone_delay{};
  std::size_t endpoints = 12;
  std::size_t entries = 3;
  Ratio quality_target{0.9};
  std::vector<KindTraffic> kinds;
  /// Cheapest first.
  std::vector<VersionParameters> versions;
};

Deployment Nilemark();
Deployment Emva();
inline std::vector<Deployment> Deployments() { return {Nilemark(), Emva()}; }

}  // namespace bamboodock::experiment
