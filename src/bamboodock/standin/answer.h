#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock::standin {

/// Seed that makes one run of the stand-in differ from another.
using Seed = Quantity<struct SeedTag, std::uint64_t>;

struct AnswerToken {
  std::string text;
  double logprob = 0.0;
};

/// Whole answer of a version to a prompt.
struct Answer {
  bool good = true;
  std::vector<AnswerToken> tokens;
};

/// What an answer depends on.
struct AnswerParameters {
  std::string_view prompt;
  VersionId version;
  Ratio quality;
  Tokens length;
  /// Share of answers made bad by a fault.
  Ratio wrong_ratio{0.0};
};

/// Answers the same question alike each time.
Answer MakeAnswer(const AnswerParameters& parameters, Seed seed);

}  // namespace bamboodock::standin
