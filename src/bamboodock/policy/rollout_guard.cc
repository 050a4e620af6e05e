#include "bamboodock/policy/rollout_guard.h"

namespace bamboodock {
namespace {

using Counters = EvidenceCounters;

}  // namespace

const std::array<RolloutGuard::Row, 3> RolloutGuard::kRows = {{
    {EvidenceSignal::kErrors, &Counters::answers, &Counters::errors},
    {EvidenceSignal::kRatings, &Counters::ratings, &Counters::bad_ratings},
    {EvidenceSignal::kSlowAnswers, &Counters::answers, &Counters::slow},
}};

RolloutGuard::RolloutGuard(const RolloutLimits& limits)
    : tests_{SequentialTest(limits.errors), SequentialTest(limits.ratings),
             SequentialTest(limits.slow)} {}

std::optional<EvidenceSignal> RolloutGuard::Observe(const EvidenceCounters& total) {
  std::optional<EvidenceSignal> found;
  for (std::size_t i = 0; i < kRows.size(); ++i) {
    const Row& row = kRows.at(i);
    const std::uint64_t observed = total.*row.observations - seen_.*row.observations;
    const std::uint64_t bad = total.*row.bad - seen_.*row.bad;
    const std::uint64_t good = observed > bad ? observed - bad : 0;
    if (tests_.at(i).Add(good, bad) && !found) found = row.signal;
  }
  seen_ = Counters::Newer(seen_, total);
  return found;
}

}  // namespace bamboodock
