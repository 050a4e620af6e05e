#include "bamboodock/objects/version.h"

namespace bamboodock {

CostMicros Version::Cost(Tokens prompt, Tokens completion) const {
  constexpr std::uint64_t kTokensPerPrice = 1000;
  const std::uint64_t scaled = prompt.value() * cost_per_1k_prompt.value() +
                               completion.value() * cost_per_1k_completion.value();
  return CostMicros((scaled + kTokensPerPrice - 1) / kTokensPerPrice);
}

Ratio Version::QualityFor(const std::string& kind) const {
  for (const KindQuality& entry : kinds) {
    if (entry.kind == kind) return entry.quality;
  }
  return quality;
}

}  // namespace bamboodock
