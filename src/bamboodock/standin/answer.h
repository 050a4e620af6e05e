#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock::standin {

/// Seed of the generated answers; runs with different seeds give different answers.
using Seed = Quantity<struct SeedTag, std::uint64_t>;

struct AnswerToken {
  std::string text;
  double logprob = 0.0;
};

/// Complete answer of a model version to a prompt.
struct Answer {
  bool good = true;
  std::vector<AnswerToken> tokens;
};

/// Inputs that, with the seed, determine an answer.
struct AnswerParameters {
  std::string_view prompt;
  VersionId version;
  /// Probability that the answer is good.
  Ratio quality;
  Tokens length;
  /// Share of answers that an injected fault makes bad.
  Ratio wrong_ratio{0.0};
};

/// Returns the same answer for the same parameters and seed.
///
/// A bad answer starts with "[wrong] " and has low log probabilities.
Answer MakeAnswer(const AnswerParameters& parameters, Seed seed);

}  // namespace bamboodock::standin
