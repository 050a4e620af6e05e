#pragma once

#include <cstdint>
#include <vector>

#include "bamboodock/core/units.h"
#include "bamboodock/experiment/deployment.h"
#include "bamboodock/policy/random.h"

namespace bamboodock::experiment {

/// One generated request.
struct TraceRequest {
  /// Time of arrival.
  MonotonicTime time;
  /// Index into the kinds of the deployment.
  std::size_t kind = 0;
  /// All tokens of the prompt, including its prefix.
  Tokens prompt;
  Tokens completion;
  std::uint64_t prefix_key = 0;
  /// Tokens of the shared prefix.
  Tokens prefix;
  double difficulty = 0;
};

/// Generates requests with exponential inter-arrival times from a seed.
class TraceGenerator {
 public:
  TraceGenerator(const Deployment& deployment, RequestRate rate, std::uint64_t seed);

  TraceRequest Next();

 private:
  /// Tokens of each shared prefix, by kind.
  std::vector<std::vector<Tokens>> prefixes_;
  const Deployment& deployment_;
  double rate_;
  Random random_;
  MonotonicTime time_{};
};

}  // namespace bamboodock::experiment
