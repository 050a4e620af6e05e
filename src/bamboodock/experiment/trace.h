#pragma once

#include <cstdint>
#include <vector>

#include "bamboodock/core/units.h"
#include "bamboodock/experiment/deployment.h"
#include "bamboodock/policy/random.h"

namespace bamboodock::experiment {

/// One generated request.
struct TraceRequest {
  MonotonicTime time;
  std::size_t kind = 0;
  Tokens prompt;
  Tokens completion;
  std::uint64_t prefix_key = 0;
  Tokens prefix;
  double difficulty = 0;
};

/// Requests with exponential gaps, generated from a seed.
class TraceGenerator {
 public:
  TraceGenerator(const Deployment& deployment, RequestRate rate, std::uint64_t seed);

  TraceRequest Next();

 private:
  /// Tokens of the prefix of each matter, by kind.
  std::vector<std::vector<Tokens>> prefixes_;
  const Deployment& deployment_;
  double rate_;
  Random random_;
  MonotonicTime time_{};
};

}  // namespace bamboodock::experiment
